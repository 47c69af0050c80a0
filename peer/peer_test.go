// SPDX-License-Identifier: Apache-2.0

package peer

import (
	"testing"

	"github.com/bits-and-blooms/bitset"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/weights"
)

// FuzzDecodeBits checks that a decoded bitmap has the requested length and is
// unchanged by encoding and decoding.
func FuzzDecodeBits(f *testing.F) {
	f.Add(EncodeBits(bitset.New(70).Set(3)), 70)
	f.Add("AAAA", 1)
	f.Fuzz(func(t *testing.T, s string, n int) {
		if n < 0 || n > weights.MaxChunks {
			return
		}
		b, err := DecodeBits(s, n)
		if err != nil {
			return
		}
		if b.Len() != uint(n) {
			t.Fatalf("%d bits, want %d", b.Len(), n)
		}
		decoded, err := DecodeBits(EncodeBits(b), n)
		if err != nil || !decoded.Equal(b) {
			t.Fatalf("bitmap changed by encoding and decoding: %v", err)
		}
	})
}

// TestBitmapLengthMismatch guards against allocating memory for a huge length in the
// header of a bitmap.
func TestBitmapLengthMismatch(t *testing.T) {
	_, err := DecodeBits("00000000000000000000000000000000", 117)
	assert.Assert(t, errors.Is(err, errors.NotValid), "%v", err)
}

// TestJoinAndSplitRefs checks that SplitRefs reverses JoinRefs and skips invalid refs.
func TestJoinAndSplitRefs(t *testing.T) {
	refs := []weights.Ref{{Model: "a", Version: "1"}, {Model: "b+x", Version: "2"}}
	assert.DeepEqual(t, SplitRefs(JoinRefs(refs)), refs)
	assert.Equal(t, len(SplitRefs("")), 0)
	assert.Equal(t, len(SplitRefs("no version,../x@1")), 0)
}
