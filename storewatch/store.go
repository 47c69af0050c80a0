// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/history"
)

// Errors of a Store.
const (
	// ErrGone means that the requested records are no longer retained.
	ErrGone = errors.ConstError("records no longer retained by the store")
	// ErrNewEra means that the store was restored from an older copy since the
	// position was read: the position belongs to an earlier era.
	ErrNewEra = errors.ConstError("store restored from an older copy")
	// ErrPastEra means that a response was given before the store was restored.
	ErrPastEra = errors.ConstError("answer from before the store was restored from an older copy")
)

// Store is the platform's store.
type Store interface {
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic string) (*Newest, error)
	// Read returns the records from a position on, waiting up to wait for the
	// first, and the position to read from next. It returns ErrNewEra if the
	// position is of an earlier era, also if the topic has since grown past its
	// offset.
	Read(ctx context.Context, topic string, from history.Position, wait time.Duration) ([]Record, history.Position, error)
	// Era returns the highest era seen. ObserveEra records an era reported by
	// another process; it returns false if that is an earlier one.
	Era() int64
	ObserveEra(era int64) bool
	// OthersLate reports whether calls for other topics are late as well.
	OthersLate(topic string, now time.Time) bool
}

// Record is a record of a topic. Value is nil if the key is dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Newest holds the newest record of each key of a topic.
type Newest struct {
	// Records are in the order in which they were written.
	Records []Record
	// Era is the era of all pages, and End the topic's end as reported with the
	// first page.
	Era, End int64
	// Pages is the number of calls; several pages are no consistent snapshot.
	Pages int
}

// NextPosition returns the position to read from next: the one after the newest
// record, or End if that is lower. The store may return records that lag behind
// the End that it reports.
func (n *Newest) NextPosition() history.Position {
	from := int64(0)
	if len(n.Records) > 0 {
		from = n.Records[len(n.Records)-1].Offset + 1
	}
	return history.Position{Era: n.Era, Offset: min(from, n.End)}
}
