// SPDX-License-Identifier: Apache-2.0

package route

import "sync"

// Limits bounds each workspace's requests in progress at one gateway, so
// that one workspace's flood or slow answers never take the room of
// another. The zero value is ready for use; its lock is a leaf.
type Limits struct {
	mu   sync.Mutex
	used map[string]int
}

// Enter counts a request of the workspace unless it has max in progress
// already; max 0 does not bound.
func (l *Limits) Enter(workspace string, max int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if max > 0 && l.used[workspace] >= max {
		return false
	}
	if l.used == nil {
		l.used = make(map[string]int)
	}
	l.used[workspace]++
	return true
}

// Leave ends what Enter counted.
func (l *Limits) Leave(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used[workspace]--
	if l.used[workspace] <= 0 {
		delete(l.used, workspace)
	}
}
