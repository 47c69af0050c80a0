// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/readerset"
)

// fakeMembers knows the gateways of the region r.
type fakeMembers []readerset.Member

// Members implements MembersSource.
func (f fakeMembers) Members(_ context.Context, region string) []readerset.Member {
	if region != "r" {
		return nil
	}
	return f
}

// serveMembers starts a MembersHandler and returns its address.
func serveMembers(t *testing.T, n int) string {
	var all fakeMembers
	for i := range n {
		all = append(all, readerset.Member{IP: fmt.Sprint("10.200.", 100+i/200, ".", 10+i%200), LinkRate: []float64{5e6, 125e6}[i%2]})
	}
	server := httptest.NewServer(MembersHandler(all))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// What a gateway is told of its region must not grow with the region, and must begin with
// the gateways that read the store.
func TestMembersResponseDoesNotGrow(t *testing.T) {
	c := NewClient(network.System{})
	defer c.Close()
	for _, n := range []int{1, 8, 61, 400} {
		address := serveMembers(t, n)
		members, err := c.Members(t.Context(), []string{address}, "r")
		assert.NilError(t, err)
		assert.Equal(t, len(members), min(n, maxMembersSent))
		var all []readerset.Member
		for i := range n {
			all = append(all, readerset.Member{IP: fmt.Sprint("10.200.", 100+i/200, ".", 10+i%200), LinkRate: []float64{5e6, 125e6}[i%2]})
		}
		assert.DeepEqual(t, readerset.Rank(members), readerset.Rank(all)[:len(members)])
		response, err := http.Get("http://" + address + pathMembers + "?region=r")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, response.ContentLength > 0 && response.ContentLength < 500, "%d bytes of %d gateways", response.ContentLength, n)
	}
}

// One seed that knows the region must be enough, whatever the others do.
func TestMembersFromOneOfSeveral(t *testing.T) {
	c := NewClient(network.System{})
	defer c.Close()
	dead := "127.0.0.1:1"
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	members, err := c.Members(t.Context(), []string{dead, strings.TrimPrefix(silent.URL, "http://"), serveMembers(t, 0), serveMembers(t, 3)}, "r")
	assert.NilError(t, err)
	assert.Equal(t, len(members), 3)
	_, err = c.Members(t.Context(), []string{dead, serveMembers(t, 3)}, "elsewhere")
	assert.Assert(t, err != nil)
}
