// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"time"

	"github.com/mintlift/mintlift/internal/memnet"
	"github.com/mintlift/mintlift/platform/storetest"
)

// dayRoute is a route of a day.
type dayRoute struct {
	name, kind, service string
	resumable           bool
	timeout             time.Duration
}

// dayRoutes are the routes to which requests are sent.
var dayRoutes = []dayRoute{
	{"s", "streaming", "e", true, 6 * time.Second},
	{"n", "streaming", "e", false, 6 * time.Second},
	{"p", "safe", "plain", false, 3 * time.Second},
	{"u", "unsafe", "plain", false, 3 * time.Second},
}

// configChanges are the changes of a day's configuration that are in force.
type configChanges struct {
	version  int
	routes   map[int]int    // number of troubles that drop a route
	services map[string]int // number of troubles that drop a service
	extra    int            // further routes and services
}

// changeConfig changes the configuration and writes it.
func (d *dayRun) changeConfig(change func(c *configChanges)) {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	c := &d.changes
	change(c)
	c.version++
	base := bubbleConfig()
	var routes, services []map[string]any
	for n, r := range dayRoutes {
		if c.routes[n] > 0 || c.services[r.service] > 0 {
			continue
		}
		route := bubbleRoute(r.name, r.kind, r.service)
		route["resumable"], route["timeout_ms"] = r.resumable, r.timeout.Milliseconds()
		routes = append(routes, route)
	}
	for _, s := range base["services"].([]map[string]any) {
		if c.services[s["name"].(string)] > 0 {
			continue
		}
		if engine, ok := s["engine"].(map[string]any); ok {
			engine["slots"] = d.Slots
		}
		services = append(services, s)
	}
	for n := range c.extra {
		name := fmt.Sprintf("more%d", n)
		routes = append(routes, bubbleRoute(name, "safe", name))
		services = append(services, map[string]any{"name": name, "max_connections": 500})
	}
	base["version"], base["routes"], base["services"] = c.version, routes, services
	d.bubble.store.Put(storetest.Operator, "config", d.bubble.encode(base))
}

// suffer lets a trouble begin, and end after its time.
func (d *dayRun) suffer(x trouble) {
	time.Sleep(time.Until(d.started.Add(x.At)))
	switch x.Kind {
	case silentEndpoint:
		d.endpoints[x.N].silence.For(x.For)
	case silentZone:
		for _, e := range d.endpoints {
			if e.zone == bubbleZones[x.N] {
				e.silence.For(x.For)
			}
		}
	case silentBox:
		d.silenceBox(d.bubble.box(d.endpoints[x.N].address, d.endpoints[x.N].zone), x.For)
	case silentGateway:
		d.silenceBox(d.bubble.box(d.bubble.gateways[x.N], bubbleZones[x.N%d.Zones]), x.For)
	case crash:
		d.endpoints[x.N].crash(x.For)
	case leave:
		d.endpoints[x.N].list(false)
		time.Sleep(x.For)
		d.endpoints[x.N].list(true)
	case dropRoute:
		d.changeConfig(func(c *configChanges) { c.routes[x.N]++ })
		time.Sleep(x.For)
		d.changeConfig(func(c *configChanges) { c.routes[x.N]-- })
	case dropService:
		service := dayRoutes[x.N].service
		d.changeConfig(func(c *configChanges) { c.services[service]++ })
		time.Sleep(x.For)
		d.changeConfig(func(c *configChanges) { c.services[service]-- })
	case grow:
		d.changeConfig(func(c *configChanges) { c.extra += x.N })
		time.Sleep(x.For)
		d.changeConfig(func(c *configChanges) { c.extra -= x.N })
	case storm:
		const interval = 120 * time.Millisecond
		for n := range x.N {
			d.changeConfig(func(c *configChanges) { c.extra += 1 - 2*(n%2) })
			time.Sleep(interval)
		}
		if x.N%2 == 1 {
			d.changeConfig(func(c *configChanges) { c.extra-- })
		}
	case nameVersion:
		d.configMu.Lock()
		defer d.configMu.Unlock()
		d.version++
		d.bubble.store.Put(storetest.Operator, "version/"+weightsModel.Model, fmt.Sprintf(`{"model":%q,"version":%d}`, weightsModel.Model, d.version))
	case evacuate:
		d.evacuate(bubbleZones[x.N], 1)
		time.Sleep(x.For)
		d.evacuate(bubbleZones[x.N], -1)
	case silentStore:
		d.bubble.store.Change(func(f *storetest.Faults) { f.Unresponsive = map[string]bool{"": true} })
		time.Sleep(x.For)
		d.bubble.store.Change(func(f *storetest.Faults) { f.Unresponsive = nil })
	case badPart:
		d.sendBadRequests(x)
	default:
		d.t.Errorf("unknown trouble %q", x.Kind)
	}
}

// evacuate adds to the number of troubles that evacuate a zone.
func (d *dayRun) evacuate(zone string, change int) {
	d.configMu.Lock()
	defer d.configMu.Unlock()
	d.evacuated[zone] += change
	d.bubble.store.Put(storetest.Operator, "evacuate/"+zone, map[bool]string{true: "{}"}[d.evacuated[zone] > 0])
}

// silenceBox loses everything between a box and all others but those of callers, for a time.
func (d *dayRun) silenceBox(own *memnet.Box, length time.Duration) {
	for _, other := range d.bubble.boxes {
		if other != own {
			d.bubble.network.Silence(own, other)
			d.bubble.network.Silence(other, own)
		}
	}
	time.Sleep(length)
	for _, other := range d.bubble.boxes {
		if other != own {
			d.bubble.network.Restore(own, other)
			d.bubble.network.Restore(other, own)
		}
	}
}
