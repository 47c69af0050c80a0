// SPDX-License-Identifier: Apache-2.0

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// measureIdleEnv is the environment variable that enables TestMeasureIdle. Its value is
// the numbers of sidecars to measure, such as "10,50,200". CI does not set it, since the
// measurement takes minutes; docs/capacity.json holds the result.
const measureIdleEnv = "MINTLIFT_MEASURE_IDLE"

// idleRow is the cost of an idle gateway or sidecar in a system with the given number
// of sidecars.
type idleRow struct {
	Sidecars int     `json:"sidecars"`
	Role     string  `json:"role"`
	CPU      float64 `json:"cpu_percent_of_a_core"`
	MB       float64 `json:"resident_mb"`
	InRate   float64 `json:"received_bytes_a_second"`
	OutRate  float64 `json:"sent_bytes_a_second"`
}

// usage holds the resource counters of a process at one moment.
type usage struct {
	cpu     time.Duration // processor time
	in, out float64       // bytes received and sent
}

// TestMeasureIdle measures the processor time, memory and network traffic of gateways
// and sidecars that serve no requests.
func TestMeasureIdle(t *testing.T) {
	sizes := os.Getenv(measureIdleEnv)
	if sizes == "" {
		t.Skip("set " + measureIdleEnv + "=10,50,200 to measure")
	}
	const interval = 30 * time.Second
	var rows []idleRow
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		t.Run(text, func(t *testing.T) {
			s := newSystem(t, 2, n, 0)
			s.prepare()
			s.deploy("v1")
			time.Sleep(10 * time.Second)
			names := []string{"entry-0", "engine-0", fmt.Sprintf("engine-%d", n/2), fmt.Sprintf("engine-%d", n-1)}
			before := make([]usage, len(names))
			for i, name := range names {
				before[i] = s.usage(t, name)
			}
			time.Sleep(interval)
			for i, name := range names {
				after := s.usage(t, name)
				role := strings.SplitN(name, "-", 2)[0]
				rows = append(rows, idleRow{
					Sidecars: n,
					Role:     map[string]string{"entry": "gateway", "engine": "sidecar"}[role],
					CPU:      100 * (after.cpu - before[i].cpu).Seconds() / interval.Seconds(),
					MB:       s.procs[name].residentMB(t),
					InRate:   (after.in - before[i].in) / interval.Seconds(),
					OutRate:  (after.out - before[i].out) / interval.Seconds(),
				})
			}
		})
	}
	b, err := json.MarshalIndent(rows, "", "  ")
	assert.NilError(t, err)
	t.Logf("\n%s", b)
}

// usage reads the counters of the process of a box.
func (s *system) usage(t *testing.T, name string) usage {
	t.Helper()
	u := usage{cpu: s.procs[name].cpuTime(t)}
	address := ""
	for _, g := range s.gateways {
		if g.Node.Box == name {
			address = g.PeerListen
		}
	}
	for _, c := range s.sidecars {
		if c.Node.Box == name {
			address = c.PeerListen
		}
	}
	resp, err := http.Get("http://" + address + "/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	for line := range strings.Lines(string(b)) {
		for prefix, value := range map[string]*float64{"mintlift_net_received_bytes ": &u.in, "mintlift_net_sent_bytes ": &u.out} {
			if v, ok := strings.CutPrefix(line, prefix); ok {
				*value, err = strconv.ParseFloat(strings.TrimSpace(v), 64)
				assert.NilError(t, err)
			}
		}
	}
	return u
}

// cpuTime returns a process's user and system time. The operating system counts it in
// ticks of 10 ms.
func (p *process) cpuTime(t *testing.T) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	assert.NilError(t, err)
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	var ticks int
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		assert.NilError(t, err)
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond
}
