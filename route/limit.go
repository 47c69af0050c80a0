// SPDX-License-Identifier: Apache-2.0

package route

import "sync"

// Limits bounds each workspace's requests in progress at one gateway, so that a
// burst or slow responses of one workspace cannot starve others. The zero value is
// ready for use. It is safe for concurrent use; no other lock is taken while its
// lock is held.
type Limits struct {
	mu sync.Mutex
	// inProgress counts requests by workspace; entries are positive.
	inProgress map[string]int
}

// Acquire counts a request of the workspace, or returns false if the workspace
// already has max in progress. A max of 0 is no bound.
func (l *Limits) Acquire(workspace string, max int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if max > 0 && l.inProgress[workspace] >= max {
		return false
	}
	if l.inProgress == nil {
		l.inProgress = make(map[string]int)
	}
	l.inProgress[workspace]++
	return true
}

// Release ends a request that Acquire counted.
func (l *Limits) Release(workspace string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inProgress[workspace]--
	if l.inProgress[workspace] <= 0 {
		delete(l.inProgress, workspace)
	}
}
