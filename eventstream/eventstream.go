// SPDX-License-Identifier: Apache-2.0

// Package eventstream reads server-sent events one at a time and keeps their
// bytes, so that they can be forwarded unaltered.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// ErrTruncated reports that the stream ended within an event.
const ErrTruncated = errors.ConstError("the stream ended within an event")

// ErrTooLarge reports that an event exceeds MaxEventBytes.
const ErrTooLarge = errors.ConstError("an event is too large")

// MaxEventBytes is the maximum size of an event in bytes.
const MaxEventBytes = 1 << 20

// Event is one event of a stream.
type Event struct {
	// Raw holds the bytes of the event, including the empty line that ends it. It
	// is valid until the next call of Next.
	Raw []byte
	// ID is the numeric id of the event, if HasID is true.
	ID int64
	// HasID is false if the event has no id, or an id that is not a number.
	HasID bool
}

// Reader reads events from a stream. Use NewReader.
type Reader struct {
	input *bufio.Reader
	raw   []byte // bytes of the current event
	// onLarge is called before the first event of more than large bytes; nil afterwards.
	onLarge func() error
	large   int
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{input: bufio.NewReaderSize(r, 2<<10)} }

// OnLarge makes Next call f before it buffers more than size bytes of an event, the first time.
// If f returns an error, Next returns it.
func (r *Reader) OnLarge(size int, f func() error) { r.large, r.onLarge = size, f }

// Next returns the next event. It returns io.EOF at the end of the stream,
// ErrTruncated if the stream ended within an event, and ErrTooLarge if the event
// exceeds MaxEventBytes.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	var e Event
	for {
		start := len(r.raw)
		if err := r.readLine(); err != nil {
			if err == io.EOF && len(r.raw) > 0 {
				return Event{}, ErrTruncated
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

// readLine appends one line, including its line ending, to raw.
func (r *Reader) readLine() error {
	for {
		part, err := r.input.ReadSlice('\n')
		if r.onLarge != nil && len(r.raw)+len(part) > r.large {
			if err := r.onLarge(); err != nil {
				return err
			}
			r.onLarge = nil
		}
		r.raw = append(r.raw, part...)
		if len(r.raw) > MaxEventBytes {
			return ErrTooLarge
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		return err
	}
}
