// SPDX-License-Identifier: Apache-2.0

package weights

import (
	"encoding/json"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// ref is the version that the tests use.
var ref = Ref{Model: "draft", Version: "v1"}

// manifest returns a manifest of ref for chunks with the given contents.
func manifest(chunks ...string) *Manifest {
	m := &Manifest{Ref: ref, ChunkBytes: 4}
	for _, c := range chunks {
		m.Bytes += int64(len(c))
		m.Chunks = append(m.Chunks, Sum([]byte(c)))
	}
	return m
}

// TestCopyServesOnlyVerifiedChunks guards against loading or serving chunks that
// were not verified, and against dropping a copy that serves.
func TestCopyServesOnlyVerifiedChunks(t *testing.T) {
	c := NewCopy(manifest("aaaa", "bb"))
	assert.NilError(t, c.Fetch())
	assert.Assert(t, errors.Is(c.Accept(0, []byte("aaab")), ErrChunkMismatch))
	assert.Assert(t, errors.Is(c.Accept(1, []byte("bbbb")), ErrChunkMismatch))
	assert.Assert(t, errors.Is(c.Accept(7, []byte("aaaa")), ErrChunkMismatch))
	assert.Equal(t, c.Count(), 0)
	assert.NilError(t, c.Accept(0, []byte("aaaa")))
	assert.Assert(t, errors.Is(c.Load(1), ErrInvalidTransition), "loaded an incomplete copy")
	assert.NilError(t, c.Accept(1, []byte("bb")))
	assert.Equal(t, c.State(), Verified)
	assert.Assert(t, errors.Is(c.Serve(), ErrInvalidTransition), "served a copy that is not loaded")
	assert.NilError(t, c.Load(1))
	assert.NilError(t, c.Serve())
	assert.Assert(t, errors.Is(c.Drop(), ErrInvalidTransition), "dropped a serving copy")
	assert.NilError(t, c.Drain())
	assert.NilError(t, c.Unload())
	assert.NilError(t, c.Drop())
	assert.Equal(t, c.State(), Absent)
}

// TestCopyTransitions checks that no sequence of operations gets an incomplete
// copy into a state that requires all chunks.
func TestCopyTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := NewCopy(manifest("aaaa", "bbbb", "cc"))
		good := []string{"aaaa", "bbbb", "cc"}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 8).Draw(t, "move") {
			case 0:
				_ = c.Fetch()
			case 1, 2:
				i := rapid.IntRange(0, 2).Draw(t, "chunk")
				_ = c.Accept(i, []byte(rapid.SampledFrom(append(good, "zzzz")).Draw(t, "bytes")))
			case 3:
				_ = c.Load(1)
			case 4:
				_ = c.Serve()
			case 5:
				_ = c.Drain()
			case 6:
				_ = c.Unload()
			case 7:
				_ = c.Drop()
			case 8:
				_ = c.LoadFailed()
			}
			full := c.Count() == len(good)
			if s := c.State(); (s == Serving || s == Loading || s == Verified || s == Draining) && !full {
				t.Fatalf("copy is %s with %d of %d chunks", s, c.Count(), len(good))
			}
		}
	})
}

// TestManifest checks that invalid manifests, and a manifest that does not match the
// expected digest, are rejected.
func TestManifest(t *testing.T) {
	m := manifest("aaaa", "bb")
	raw, err := json.Marshal(m)
	assert.NilError(t, err)
	got, err := ParseManifest(raw, m.Digest())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, m)
	_, err = ParseManifest(raw, Sum([]byte("another")))
	assert.Assert(t, errors.Is(err, ErrBadManifest))
	for name, bad := range map[string]string{
		"not JSON":     "{",
		"no chunks":    `{"model":"m","version":"v","bytes":8,"chunk_bytes":4}`,
		"short digest": `{"model":"m","version":"v","bytes":4,"chunk_bytes":4,"chunks":["ab"]}`,
		"bad name":     `{"model":"../m","version":"v","bytes":4,"chunk_bytes":4,"chunks":["` + string(Sum(nil)) + `"]}`,
		"no size":      `{"model":"m","version":"v","bytes":0,"chunk_bytes":4}`,
	} {
		_, err := ParseManifest([]byte(bad), "")
		assert.Assert(t, errors.Is(err, ErrBadManifest), name)
	}
}

// FuzzParseManifest checks that the chunk sizes of any accepted manifest are
// positive and add up to its total.
func FuzzParseManifest(f *testing.F) {
	raw, _ := json.Marshal(manifest("aaaa", "bb"))
	f.Add(raw)
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ParseManifest(b, "")
		if err != nil {
			return
		}
		var sum int64
		for i := range m.Chunks {
			if m.Size(i) <= 0 {
				t.Fatalf("chunk %d has %d bytes", i, m.Size(i))
			}
			sum += m.Size(i)
		}
		if sum != m.Bytes {
			t.Fatalf("chunks have %d bytes in total, want %d", sum, m.Bytes)
		}
	})
}
