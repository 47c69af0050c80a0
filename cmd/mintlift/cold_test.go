// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform/storetest"
)

// Bounds of the requests to a cold endpoint: at most coldFactor times its rate plus
// coldSlack in any coldWindow, and on average at least minUsage of the rate once the
// gateways share it.
const (
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
	minUsage   = 0.7
	// coldLength is how long an endpoint is cold, and coldSettle how long the gateways may
	// take until they use the rate.
	coldLength = 8 * time.Second
	coldSettle = 2 * time.Second
)

// configureCold sets the rate at which endpoints of both services get requests while they
// are cold.
func (d *engineDeployment) configureCold(rate float64) {
	text := strings.Replace(d.config, `{"version":1,`, `{"version":2,`, 1)
	cold := fmt.Sprintf(`"max_connections":500,"cold_per_s":%g,"cold_start_s":%g`, rate, coldLength.Seconds())
	d.store.Put(storetest.Operator, "config", strings.ReplaceAll(text, `"max_connections":500`, cold))
}

// checkCold sends more requests than a cold endpoint, the only one of its service, may get,
// and checks how many reach it. became is when its entry said that it is cold.
func checkCold(t *testing.T, d *engineDeployment, e *signalingEndpoint, path string, rate float64, became time.Time) {
	t.Helper()
	interval := 20 * time.Millisecond // of each gateway; well above the rate in all
	d.sendLoad(path, time.Until(became.Add(coldLength-coldWindow)), interval)
	var arrivals, settled []arrival
	for _, a := range e.arrivals() {
		if a.at.After(became.Add(coldLength - coldWindow)) {
			break
		}
		arrivals = append(arrivals, a)
		if a.at.After(became.Add(coldSettle)) {
			settled = append(settled, a)
		}
	}
	most := maxInWindow(arrivals, time.Time{}, coldWindow)
	allowed := int(coldFactor*rate) + coldSlack
	used := float64(len(settled)) / (rate * (coldLength - coldWindow - coldSettle).Seconds())
	t.Logf("at most %d in %s, allowed %d; %.2f used", most, coldWindow, allowed, used)
	assert.Check(t, most <= allowed, "%d in %s, allowed %d", most, coldWindow, allowed)
	assert.Check(t, used >= minUsage, "%.2f used", used)
}

// Three gateways together must neither send a cold endpoint more than it takes in any
// second, nor leave much of that unused, with a sidecar before it or without.
func TestColdEndpointIsSharedByGateways(t *testing.T) {
	for _, rate := range []float64{4, 10, 40} {
		t.Run(fmt.Sprintf("plain, %g a second", rate), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d, _ := startSignalingEngines(t, 3, 2)
				d.configureCold(rate)
				time.Sleep(configApplyTimeout)
				e := serveEndpoint(t, &signalingEndpoint{deployment: d, service: "p", address: d.plainAddress(), cold: coldLength})
				checkCold(t, d, e, plainPath, rate, time.Now())
			})
		})
		t.Run(fmt.Sprintf("engine, %g a second", rate), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d, engines := startSignalingEngines(t, 3, 1)
				d.configureCold(rate)
				time.Sleep(configApplyTimeout)
				e := serveEndpoint(t, &signalingEndpoint{deployment: d, service: "e", address: net.JoinHostPort(hostOf(t, engines[0].address), "8321"), cold: coldLength})
				d.store.Put(storetest.Endpoints, engines[0].id, "")
				ip := hostAfter(t, engines[0].address)
				startSidecarOn(t, d.on(ip), ip, d.storeAddress, e.address)
				checkCold(t, d, e, enginePath, rate, time.Now())
			})
		})
	}
}

// The gateways must use the limit of an endpoint without a sidecar, also when many share it.
func TestLimitOfPlainEndpointIsUsed(t *testing.T) {
	const rate = 20
	for _, gateways := range []int{3, 6, 20} {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d, _ := startSignalingEngines(t, gateways, 2)
				limited := startPlainEndpoint(t, d)
				for n := range d.gateways {
					d.awaitPath(t, plainPath, n)
				}
				limited.signals.Limit(rate)
				set := time.Now()
				d.sendLoad(plainPath, propagationTimeout+2*limitWindow, time.Duration(gateways)*8*time.Millisecond)
				most := maxInWindow(limited.arrivals(), set.Add(propagationTimeout), limitWindow)
				count := 0
				for _, a := range limited.arrivals() {
					if a.at.After(set.Add(propagationTimeout)) && a.at.Before(set.Add(propagationTimeout+2*limitWindow)) {
						count++
					}
				}
				used := float64(count) / (rate * 2 * limitWindow.Seconds())
				allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
				t.Logf("at most %d in %s, allowed %d; %.2f used", most, limitWindow, allowed, used)
				assert.Check(t, most <= allowed, "%d in %s, allowed %d", most, limitWindow, allowed)
				assert.Check(t, used >= minUsage, "%.2f used", used)
			})
		})
	}
}

// hostAfter returns the IP address of an IP:PORT, with the last number raised by 50.
func hostAfter(t *testing.T, address string) string {
	t.Helper()
	ip := net.ParseIP(hostOf(t, address)).To4()
	ip[3] += 50
	return ip.String()
}
