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
	// ErrNewEra means that the store was restored from an older copy after the
	// position was read, so the position belongs to an earlier era.
	ErrNewEra = errors.ConstError("store restored from an older copy")
	// ErrPastEra means that the store sent the response before it was restored
	// from an older copy.
	ErrPastEra = errors.ConstError("answer from before the store was restored from an older copy")
)

// Store is the platform's store: topics of records with keys and increasing offsets.
// Its era increases each time it is restored from an older copy; offsets of different
// eras are not comparable.
type Store interface {
	// Newest returns the newest record of each key of a topic.
	Newest(ctx context.Context, topic string) (*Newest, error)
	// Read returns the records from a position on, and the position to read from
	// next. If there is no record, it waits up to wait for one. It returns ErrNewEra
	// if the position is of an earlier era, even if the topic has since grown past
	// its offset. With ErrGone it returns the first position that is retained.
	Read(ctx context.Context, topic string, from history.Position, wait time.Duration) ([]Record, history.Position, error)
	// Era returns the highest era observed.
	Era() int64
	// ObserveEra records an era that another process has reported. It returns false
	// if that era is lower than Era.
	ObserveEra(era int64) bool
	// OthersLate reports whether calls for topics other than this one are late, too.
	OthersLate(topic string, now time.Time) bool
}

// Topic is a topic with keys that processes of this project write.
type Topic interface {
	// Append appends a record to a partition. It fails if the partition does not end at
	// offset at, unless that is AnyOffset.
	Append(ctx context.Context, part int, at int64, key string, value []byte) error
	// Newest returns the newest record of each key of a partition.
	Newest(ctx context.Context, part int) (*Newest, error)
}

// AnyOffset makes Topic.Append append a record wherever the partition ends.
const AnyOffset = int64(-1)

// Record is a record of a topic. Value is nil if the record deletes the key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Newest holds the newest record of each key of a topic.
type Newest struct {
	// Records are in the order in which they were written.
	Records []Record
	// Era is the era of all pages. End is the end of the topic, the offset after its
	// last record, as reported with the first page.
	Era, End int64
	// Pages is the number of calls that returned the records. Records from several
	// calls are no consistent snapshot.
	Pages int
}

// NextPosition returns the position to read from next: the one after the newest
// record, or End if that is lower. The position after the newest record can be below
// End, since the records that the store returns may lag behind the End that it reports.
func (n *Newest) NextPosition() history.Position {
	from := int64(0)
	if len(n.Records) > 0 {
		from = n.Records[len(n.Records)-1].Offset + 1
	}
	return history.Position{Era: n.Era, Offset: min(from, n.End)}
}
