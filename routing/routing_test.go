// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// testConfiguration returns a configuration with two routes of one host, one of
// another, a weights origin and one workspace.
func testConfiguration(version int64) *Configuration {
	return New(version,
		[]*Route{
			{Name: "all", Host: "a.example", PathPrefix: "/x/"},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
			{Name: "other", Host: "B.example", PathPrefix: "/"},
		},
		[]*Service{{Name: "s"}, {Name: "o", Origin: "127.0.0.1:1"}},
		[]*Workspace{{Name: "w", Keys: []string{"k1", "k2"}, Priority: 3}},
		Limits{})
}

// The route with the longest matching path prefix must be chosen; the case and port of
// the host must be ignored.
func TestMatch(t *testing.T) {
	c := testConfiguration(1)
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "all"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:80", "/x/y/", "long"},
		{"b.example", "/anything", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
	} {
		got := ""
		if r := c.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, test.want, "%s%s", test.host, test.path)
	}
}

// Keys must map to their workspace, and unknown or empty keys to none.
func TestKeys(t *testing.T) {
	c := testConfiguration(1)
	assert.Equal(t, c.Workspace("k2").Name, "w")
	assert.Assert(t, c.Workspace("k3") == nil)
	assert.Assert(t, c.Workspace("") == nil)
	assert.Assert(t, c.Authenticated())
	assert.Equal(t, c.Origin().Name, "o")
}

// Requests must be split by the weights of the shares; a share of weight 0 gets none.
func TestServiceSplit(t *testing.T) {
	r := &Route{Shares: []Share{{"a", 90}, {"b", 10}, {"never", 0}}}
	assert.Equal(t, r.Service(0), "a")
	assert.Equal(t, r.Service(0.899), "a")
	assert.Equal(t, r.Service(0.9), "b")
	assert.Equal(t, r.Service(0.9999), "b")
}

// Only safe requests and resumable streams may run more than once.
func TestIdempotent(t *testing.T) {
	assert.Assert(t, (&Route{Kind: Safe}).Idempotent())
	assert.Assert(t, !(&Route{Kind: Unsafe}).Idempotent())
	assert.Assert(t, !(&Route{Kind: Streaming}).Idempotent())
	assert.Assert(t, (&Route{Kind: Streaming, Resumable: true}).Idempotent())
}

// A table must keep the highest version in whatever order versions are applied.
func TestTableKeepsHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		highest := int64(0)
		for _, v := range rapid.SliceOfN(rapid.Int64Range(1, 20), 1, 30).Draw(t, "versions") {
			applied := table.Apply(New(v, nil, nil, nil, Limits{IdleTimeout: time.Second}))
			if applied != (v > highest) {
				t.Fatalf("version %d applied: %t, highest %d", v, applied, highest)
			}
			highest = max(highest, v)
			if table.Get().Version != highest {
				t.Fatalf("table holds version %d, want %d", table.Get().Version, highest)
			}
		}
	})
}
