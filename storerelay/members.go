// SPDX-License-Identifier: Apache-2.0

package storerelay

import (
	"context"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"github.com/mintlift/mintlift/readerset"
)

// pathMembers is the path of a MembersHandler: gateways of the region in the query.
const pathMembers = "/gateways"

// maxMembersSent is the number of gateways in a response of a MembersHandler, the first in
// rank. A gateway asks at most a few at a time for what they have read, so the rest would
// only make the response grow with the region.
const maxMembersSent = 8

// member is a gateway as sent in a response.
type member struct {
	IP       string  `json:"ip"`
	LinkRate float64 `json:"rate"`
}

// MembersSource knows the gateways of regions.
type MembersSource interface {
	// Members returns the gateways of a region; none if they are unknown.
	Members(ctx context.Context, region string) []readerset.Member
}

// MembersHandler returns a handler that tells gateways that cannot read the store which
// others there are in their region.
func MembersHandler(source MembersSource) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathMembers, func(w http.ResponseWriter, r *http.Request) {
		members := source.Members(r.Context(), r.URL.Query().Get("region"))
		if len(members) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rates := make(map[string]float64, len(members))
		for _, m := range members {
			rates[m.IP] = m.LinkRate
		}
		ranked := readerset.Rank(members)
		var out []member
		for _, ip := range ranked[:min(maxMembersSent, len(ranked))] {
			out = append(out, member{IP: ip, LinkRate: rates[ip]})
		}
		writeJSON(w, out)
	})
	return mux
}

// Members asks all given addresses, IP:PORT of MembersHandlers, at once for gateways of a
// region, and returns the first response that has any.
func (c *Client) Members(ctx context.Context, addresses []string, region string) ([]readerset.Member, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		members []readerset.Member
		err     error
	}
	results := make(chan result, len(addresses))
	for _, address := range addresses {
		go func() {
			var got []member
			err := c.get(ctx, address, pathMembers, url.Values{"region": {region}}, callTimeout, &got)
			var out []readerset.Member
			for _, m := range got {
				out = append(out, readerset.Member(m))
			}
			results <- result{out, err}
		}()
	}
	err := error(errors.NotFoundf("gateway"))
	for range addresses {
		r := <-results
		if len(r.members) > 0 {
			return r.members, nil
		}
		if r.err != nil {
			err = r.err
		}
	}
	return nil, err
}
