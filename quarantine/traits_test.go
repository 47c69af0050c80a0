// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// names returns the names of parts.
func names(parts []Part) string {
	var out []string
	for _, p := range parts {
		out = append(out, p.Name)
	}
	return strings.Join(out, " ")
}

// The last part of a prompt is the request's own. Malformed values must neither add parts
// nor take much memory.
func TestPartsOfMalformedLists(t *testing.T) {
	for _, test := range []struct{ list, want string }{
		{"", ""},
		{"5c1e07a2:800", ""},
		{"5c1e07a2:800,91bd3f06:410,e4402b7d:250", "5c1e07a2 91bd3f06"},
		{"5C1E07A2:800,5c1e07a2:3,1:1", "5c1e07a2"},
		{"aa,bb:x, cc:1,dd:1", "aa bb cc"},
		{",,:,:5,zz:1,a b:1,ab:1,x", "ab"},
		{strings.Repeat("a", maxPartName+1) + ":1,bb:1,cc:1", "bb"},
		{strings.Repeat("a", 1<<20), ""},
		{strings.Repeat(",", 1<<20), ""},
	} {
		assert.Equal(t, names(Parts("m", test.list)), test.want, "%.80q", test.list)
	}
	var many []string
	for n := range 10_000 {
		many = append(many, fmt.Sprintf("%x:1", n))
	}
	assert.Equal(t, len(Parts("m", strings.Join(many, ","))), maxParts)
}

// Parts must be the same for all spellings of a name, and differ between models.
func TestPartIDs(t *testing.T) {
	assert.Equal(t, Parts("m", "ab:1,x")[0].ID, Parts("m", "AB:2,y")[0].ID)
	assert.Assert(t, Parts("m", "ab:1,x")[0].ID != Parts("n", "ab:1,x")[0].ID)
	assert.Assert(t, Parts("ma", "b:1,x")[0].ID != Parts("m", "ab:1,x")[0].ID)
}

// FuzzParts checks that the parts of any list are bounded and well formed.
func FuzzParts(f *testing.F) {
	f.Add("5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	f.Add(",,:,:5,zz:1")
	f.Fuzz(func(t *testing.T, list string) {
		parts := Parts("m", list)
		assert.Assert(t, len(parts) <= maxParts)
		for _, p := range parts {
			assert.Assert(t, validPartName(p.Name) && p.Name == strings.ToLower(p.Name))
		}
	})
}

// BenchmarkParts measures Parts, which is called for each request.
func BenchmarkParts(b *testing.B) {
	for name, list := range map[string]string{"none": "", "three": "5c1e07a2:800,91bd3f06:410,e4402b7d:250"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Parts("a-model", list)
			}
		})
	}
}
