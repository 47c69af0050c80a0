// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/routing"
)

// urgencyConfig returns a configuration with streaming routes of the given priorities,
// /stream/0, /stream/1 and so on, and workspaces of the given priorities, with the keys
// key-1, key-2 and so on. The priority of /safe/ is 9.
func urgencyConfig(routes, workspaces []int) *routing.Configuration {
	plain := route(routing.Safe, "/safe/", "engine", 2)
	plain.Priority = 9
	list := []*routing.Route{plain}
	for i, p := range routes {
		r := route(routing.Streaming, "/stream/"+strconv.Itoa(i), "engine", 2)
		r.Priority = p
		list = append(list, r)
	}
	var owners []*routing.Workspace
	for i, p := range workspaces {
		owners = append(owners, &routing.Workspace{Name: strconv.Itoa(i), Keys: []string{"key-" + strconv.Itoa(i+1)}, Priority: p})
	}
	engine := &routing.Engine{Slots: 4, Model: testModel, PrefillRate: 20000, MeanPromptTokens: 1000}
	return routing.New(1, list, []*routing.Service{{Name: "engine", Engine: engine}}, owners, routing.Limits{})
}

// Guards against route priorities that have no effect because requests carry keys, and
// against an order that changes where the routes of a service do not differ.
func TestUrgencyOrder(t *testing.T) {
	start := time.Now()
	for _, test := range []struct {
		name               string
		routes, workspaces []int
		// requests are, in order of arrival, the indices of the route and of the
		// workspace; a negative workspace stands for a request without a key
		requests [][2]int
		want     []int // indices of requests in the order in which they are served
	}{
		{"route decides between equal workspaces", []int{2, 0, 1}, []int{1, 1}, [][2]int{{0, 0}, {1, 1}, {2, 0}}, []int{1, 2, 0}},
		{"workspace comes first", []int{2, 0}, []int{1, 0}, [][2]int{{1, 0}, {0, 1}}, []int{1, 0}},
		{"without a key the route's alone", []int{2, 0}, []int{1, 1}, [][2]int{{0, -1}, {1, -1}, {0, 0}}, []int{1, 2, 0}},
		{"equal routes, due time decides", []int{2, 2}, []int{1, 1}, [][2]int{{0, 0}, {1, 1}, {0, 1}}, []int{0, 1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := urgencyConfig(test.routes, test.workspaces)
			var q queue
			var waiters []*waiter
			for i, r := range test.requests {
				x := &exchange{config: c, service: "engine", route: c.Match("h.example", "/stream/"+strconv.Itoa(r[0]))}
				x.priority = x.route.Priority
				if r[1] >= 0 {
					x.priority = test.workspaces[r[1]]
				}
				w := &waiter{exchange: x, rank: rank{urgency: x.urgency(), responseDue: start.Add(time.Duration(i) * time.Millisecond)}}
				waiters = append(waiters, w)
				q.add(w)
			}
			for i, n := range test.want {
				assert.Equal(t, slices.Index(q.waiters, waiters[n]), i)
			}
		})
	}
}

// Guards against engines that get the route's priority where workspaces differ, or the
// workspace's where only the routes do.
func TestPrioritySentToEngines(t *testing.T) {
	for _, test := range []struct {
		name               string
		routes, workspaces []int
		want               string
	}{
		{"workspaces equal, routes differ", []int{2, 0}, []int{1, 1}, "2"},
		{"workspaces differ, routes differ", []int{2, 0}, []int{1, 3}, "1"},
		{"workspaces equal, streaming routes equal", []int{2, 2}, []int{1, 1}, "1"},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.server.Apply(urgencyConfig(test.routes, test.workspaces))
			g.startEndpoint("a", "engine", respondEvents(lastEvent, lastEvent))
			response, _ := g.do("POST", "/stream/0", "x")
			assert.Equal(t, response.StatusCode, 200)
			assert.Equal(t, g.requests()[0].header.Get(testHeaders.Priority), test.want)
		})
	}
}
