// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/history"
)

// Reader reads a topic on request. It is not safe for concurrent use.
type Reader struct {
	watcher *Watcher
	source  *Source
	next    history.Position
}

// Reader returns a Reader of the topic s, which has not read anything yet.
func (w *Watcher) Reader(s *Source) *Reader {
	return &Reader{watcher: w, source: s, next: history.Unread}
}

// Read reads the topic once. The first call reads the newest record of each key, and
// later calls only the records after those. After ErrGone or ErrNewEra the next call
// starts over with the newest records.
func (r *Reader) Read(ctx context.Context) error {
	next, err := r.watcher.step(ctx, r.source, r.next)
	if errors.Is(err, ErrGone) || errors.Is(err, ErrNewEra) {
		next = history.Unread
	}
	r.next = next
	return err
}
