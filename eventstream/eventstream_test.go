// SPDX-License-Identifier: Apache-2.0

package eventstream

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// The raw events must add up to the stream, whatever the line endings, and only numeric
// ids must be reported.
func TestNext(t *testing.T) {
	text := "id: 1\ndata: a\n\n: note\nid:2\r\ndata: b\r\n\r\ndata: none\n\n"
	r := NewReader(iotest.OneByteReader(strings.NewReader(text)))
	var raw bytes.Buffer
	var ids []int64
	for {
		e, err := r.Next()
		if err == io.EOF {
			break
		}
		assert.NilError(t, err)
		raw.Write(e.Raw)
		if e.HasID {
			ids = append(ids, e.ID)
		}
	}
	assert.Equal(t, raw.String(), text)
	assert.DeepEqual(t, ids, []int64{1, 2})
}

func TestTruncatedStream(t *testing.T) {
	for _, text := range []string{"id: 1\ndata: a\n", "id: 1\ndata", "i"} {
		_, err := NewReader(strings.NewReader(text)).Next()
		assert.Equal(t, err, error(ErrTruncated), "%q", text)
	}
	_, err := NewReader(iotest.ErrReader(io.ErrUnexpectedEOF)).Next()
	assert.Equal(t, err, io.ErrUnexpectedEOF)
}

func TestLargeEventIsRefused(t *testing.T) {
	_, err := NewReader(strings.NewReader("data: " + strings.Repeat("x", MaxEventBytes+10))).Next()
	assert.Equal(t, err, error(ErrTooLarge))
}

// FuzzNext checks that the concatenated raw events are a prefix of the stream.
func FuzzNext(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\n\n\r\n:")
	f.Fuzz(func(t *testing.T, text string) {
		r := NewReader(strings.NewReader(text))
		var raw bytes.Buffer
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			raw.Write(e.Raw)
		}
		if !strings.HasPrefix(text, raw.String()) {
			t.Fatalf("%q is not a prefix of %q", raw.String(), text)
		}
	})
}
