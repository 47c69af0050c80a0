// SPDX-License-Identifier: Apache-2.0

package gateway

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestReadEvent checks the fields and raw bytes of events, and guards against accepting
// an incomplete event at the end of a stream.
func TestReadEvent(t *testing.T) {
	r := bufio.NewReader(strings.NewReader("id: 7\ndata: {\"id\":\"x\"}\n\ndata: [DONE]\r\n\r\nid: 8\ndata: cut"))
	e, raw, err := readEvent(r)
	assert.NilError(t, err)
	assert.Equal(t, e.id, 7)
	assert.Equal(t, string(e.data), `{"id":"x"}`)
	assert.Equal(t, string(raw), "id: 7\ndata: {\"id\":\"x\"}\n\n")
	e, _, err = readEvent(r)
	assert.NilError(t, err)
	assert.Assert(t, e.done)
	_, _, err = readEvent(r)
	assert.Assert(t, err != nil, "incomplete event accepted")
}

// FuzzReadEvent guards against events whose bytes are changed when they are relayed: the
// raw events together must be a prefix of the input.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {}\n\n"))
	f.Add([]byte(":\n\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReader(bytes.NewReader(b))
		var all []byte
		for {
			_, raw, err := readEvent(r)
			if err != nil {
				break
			}
			all = append(all, raw...)
		}
		if !bytes.HasPrefix(b, all) {
			t.Fatalf("raw events are not a prefix of the input")
		}
	})
}
