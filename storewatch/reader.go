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

// Reader returns a reader of s.
func (w *Watcher) Reader(s *Source) *Reader {
	return &Reader{watcher: w, source: s, next: history.Unread}
}

// Read reads the topic once: the newest records at first, and only later ones from
// then on. After ErrGone or ErrNewEra the next Read starts over.
func (r *Reader) Read(ctx context.Context) error {
	next, err := r.watcher.step(ctx, r.source, r.next)
	if errors.Is(err, ErrGone) || errors.Is(err, ErrNewEra) {
		next = history.Unread
	}
	r.next = next
	return err
}
