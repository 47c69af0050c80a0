// SPDX-License-Identifier: Apache-2.0

// Package eventstream reads server-sent events one at a time, as bytes that
// can be passed on unaltered.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// ErrTorn says that the stream ended within an event.
const ErrTorn = errors.ConstError("the stream ended within an event")

// ErrLarge says that an event is larger than MaxEvent.
const ErrLarge = errors.ConstError("an event is too large")

// MaxEvent bounds an event, in bytes.
const MaxEvent = 1 << 20

// Event is one event of a stream.
type Event struct {
	// Raw are the event's bytes, with the empty line that ends it. They are
	// valid until the next event is read.
	Raw []byte
	// ID is the event's number; HasID is false if it carries none, or one
	// that is no number.
	ID    int64
	HasID bool
}

// Reader reads events.
type Reader struct {
	in  *bufio.Reader
	raw []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 2<<10)} }

// Next returns the next event, io.EOF at the end of the stream, or ErrTorn
// if the stream ended within an event.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	for {
		start := len(r.raw)
		if err := r.line(); err != nil {
			if err == io.EOF && len(r.raw) > 0 {
				return Event{}, ErrTorn
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			e.ID, e.HasID = id, err == nil
		}
	}
}

// line appends one line, with its end, to raw.
func (r *Reader) line() error {
	for {
		part, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		if len(r.raw) > MaxEvent {
			return ErrLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		return err
	}
}
