// SPDX-License-Identifier: Apache-2.0

package peerlist

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestList(t *testing.T) {
	want := []Endpoint{{Address: "127.0.0.1:9", Zone: "a"}, {Address: "127.0.0.2:9", Zone: "b", Draining: true}}
	serve := func(known bool) string {
		s := httptest.NewServer(Handler(func(service string) []Endpoint {
			if !known {
				return nil
			}
			assert.Equal(t, service, "models & more")
			return want
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	gone := httptest.NewServer(nil)
	gone.Close()
	c := NewClient()
	got, err := c.Get(context.Background(), []string{strings.TrimPrefix(gone.URL, "http://"), serve(false), serve(true)}, "models & more")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	_, err = c.Get(context.Background(), []string{serve(false)}, "models & more")
	assert.ErrorContains(t, err, "status 503")
	_, err = c.Get(context.Background(), nil, "models & more")
	assert.ErrorContains(t, err, "not found")
}
