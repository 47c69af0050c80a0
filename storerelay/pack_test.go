// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
)

// counted counts how often it is encoded.
type counted struct{ times *int }

func (c counted) MarshalJSON() ([]byte, error) {
	*c.times++
	return []byte(`"text"`), nil
}

// What many ask for is encoded once a state, and comes back as it was.
func TestPackedOnce(t *testing.T) {
	var p packer
	times := 0
	for range 100 {
		packed, err := p.pack("state", counted{&times})
		assert.NilError(t, err)
		var got string
		assert.NilError(t, unpack(packed, &got))
		assert.Equal(t, got, "text")
	}
	assert.Equal(t, times, 1)
	for n := range 3 * packsKept {
		_, err := p.pack(fmt.Sprint(n), n)
		assert.NilError(t, err)
		assert.Assert(t, len(p.packs) <= packsKept)
	}
	var got string
	assert.ErrorContains(t, unpack([]byte("nonsense that is long enough"), &got), "gzip")
	assert.NilError(t, unpack(nil, &got))
}

// A long list is sent in a fraction of its size.
func TestLongListIsSmall(t *testing.T) {
	var list []fleet.Record
	for n := range 3000 {
		list = append(list, fleet.Record{ID: fmt.Sprintf("i-%010x", n*2654435761), Service: "engines", Address: fmt.Sprintf("10.0.%d.%d:8700", n/250, n%250), Zone: "a", Slots: 12})
	}
	var p packer
	packed, err := p.pack("", list)
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < 20*len(list), "%d bytes", len(packed))
}

// Gateways divide themselves among the two that read for them.
func TestFollowersAreDivided(t *testing.T) {
	now := time.Now()
	first := map[string]int{}
	for n := range 100 {
		r := NewReaders(fmt.Sprintf("10.0.1.%d", n), nil, logr.Discard())
		r.Heard([]string{"10.0.0.1", "10.0.0.2"}, now)
		order := r.follow(now)
		assert.Equal(t, len(order), 2)
		first[order[0]]++
	}
	assert.Assert(t, first["10.0.0.1"] > 25 && first["10.0.0.2"] > 25, "%v", first)
}
