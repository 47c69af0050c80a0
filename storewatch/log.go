// SPDX-License-Identifier: Apache-2.0

package storewatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/history"
)

// Errors of a Log.
const (
	// ErrGone says that the records asked for are kept no longer.
	ErrGone = errors.ConstError("the store keeps these records no longer")
	// ErrNewEra says that the store has come back from an older copy since the
	// offset was had: it names a place in another history.
	ErrNewEra = errors.ConstError("the store came back from an older copy")
	// ErrPastEra says that an answer is from before the store came back.
	ErrPastEra = errors.ConstError("answer from before the store came back from an older copy")
)

// Log is the platform's store.
type Log interface {
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic string) (*Newest, error)
	// Read returns the records from a position on, waiting up to wait for the
	// first, and the position from which to read on. ErrNewEra says that the
	// position is of an earlier era, also where the history has grown past it
	// again.
	Read(ctx context.Context, topic string, from history.Position, wait time.Duration) ([]Record, history.Position, error)
	// Era is the highest that was told, and Learn takes one that another process
	// tells; it returns false if that has passed.
	Era() int64
	Learn(era int64) bool
	// OthersLate reports whether calls for other topics are late, too.
	OthersLate(topic string, now time.Time) bool
}

// Record is the newest record of a key. Value is nil if the key is dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Newest are the newest records of a topic.
type Newest struct {
	// Records are in the order in which they were written.
	Records []Record
	// Era is that of all pages, and End the topic's end as told with the first.
	Era, End int64
	// Pages is how many calls it took; several are no snapshot.
	Pages int
}

// ReadFrom is the offset from which to read on: the one behind the newest
// record, or End if that is sooner. The store may answer with records that
// are older than the End that it tells.
func (n *Newest) ReadFrom() history.Position {
	from := int64(0)
	if len(n.Records) > 0 {
		from = n.Records[len(n.Records)-1].Offset + 1
	}
	return history.Position{Era: n.Era, Offset: min(from, n.End)}
}
