// SPDX-License-Identifier: Apache-2.0

package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Requests that differ in any property other than the case of the host must have
// different IDs, even if their concatenated properties are equal.
func TestIdentityDependsOnCallerAndContent(t *testing.T) {
	request := Request{Method: "POST", Host: "H.example", Target: "/a/b?c", Workspace: "w", Body: []byte("text")}
	same := request
	same.Host = "h.EXAMPLE"
	assert.Equal(t, Identify(request), Identify(same))
	for name, change := range map[string]func(*Request){
		"method":    func(r *Request) { r.Method = "PUT" },
		"host":      func(r *Request) { r.Host = "i.example" },
		"query":     func(r *Request) { r.Target = "/a/b?d" },
		"workspace": func(r *Request) { r.Workspace = "v" },
		"body":      func(r *Request) { r.Body = []byte("texts") },
		"boundary":  func(r *Request) { r.Target, r.Workspace = "/a/b?cw", "" },
	} {
		other := request
		change(&other)
		assert.Assert(t, Identify(request) != Identify(other), name)
	}
}

// An ID must be the same after encoding and decoding, and other text must be rejected.
func TestIdentityTextRoundTrip(t *testing.T) {
	id := Identify(Request{Target: "/a"})
	text, err := id.MarshalText()
	assert.NilError(t, err)
	assert.Equal(t, string(text), id.String())
	var decoded ID
	assert.NilError(t, decoded.UnmarshalText(text))
	assert.Equal(t, decoded, id)
	assert.ErrorContains(t, decoded.UnmarshalText([]byte("12")), "identity")
}

// BenchmarkIdentify measures Identify, which is called for each request.
func BenchmarkIdentify(b *testing.B) {
	for _, kb := range []int{0, 1, 16} {
		r := Request{Method: "POST", Host: "h.example", Target: "/a/b/c", Workspace: "w", Body: make([]byte, kb<<10)}
		b.Run(map[int]string{0: "none", 1: "1KB", 16: "16KB"}[kb], func(b *testing.B) {
			for b.Loop() {
				Identify(r)
			}
		})
	}
}
