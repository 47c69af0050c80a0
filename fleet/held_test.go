// SPDX-License-Identifier: Apache-2.0

package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listed returns the record of endpoint id at address a:1 with a version in the list.
func listed(id string, startedMS int64, version int) Record {
	return Record{ID: id, Service: "s", Address: "a:1", Zone: "z", StartedMS: startedMS, Models: map[string]int{model: version}}
}

// Guards against requests to an engine that holds nothing: its report names no model then,
// and the list may lag behind.
func TestEmptyEngineIsNotTakenForItsListedVersion(t *testing.T) {
	f := New(Place{Zone: "z"})
	f.Put(listed("a", 0, 1))
	e, _ := f.ApplyReport(Report{Address: "a:1"}, -1, start)
	assert.Equal(t, e.HeldVersion(model, start), 0)
	f.ApplyReport(Report{Address: "a:1", Model: "other", Version: 3}, -1, start)
	assert.Equal(t, e.HeldVersion(model, start), 1, "the report is of another model")
}

// Guards against requests to an engine that has accepted a command to load a version while
// its sidecar was not running: the list shows a version that no sidecar has verified.
func TestListedVersionIsNotBelievedWithoutSidecar(t *testing.T) {
	for name, change := range map[string]func(*Fleet){
		"same process":                    func(f *Fleet) { f.Put(listed("a", 1000, 2)) },
		"restarted, with a start time":    func(f *Fleet) { f.Put(listed("a", 2000, 2)) },
		"restarted, with another id":      func(f *Fleet) { f.Put(listed("b", 0, 2)) },
		"restarted, removed before added": func(f *Fleet) { f.Remove("a"); f.Put(listed("b", 0, 2)) },
		"whole list replaced":             func(f *Fleet) { f.Replace([]Record{listed("b", 0, 2)}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := New(Place{Zone: "z"})
			f.Put(listed("a", 1000, 1))
			r := report("a", 1, 0, 0)
			r.StartedMS = 1000
			e, _ := f.ApplyReport(r, -1, start)
			silent := start.Add(reportTTL)
			assert.Equal(t, e.HeldVersion(model, silent), 1, "the list shows what was reported last")
			change(f)
			e = f.byAddress["a:1"]
			assert.Equal(t, e.HeldVersion(model, silent), 0)
			assert.Equal(t, e.HeldVersion(model, start.Add(listedChangeDelay-time.Millisecond)), 0)
			assert.Equal(t, e.HeldVersion(model, start.Add(listedChangeDelay)), 2)
			r.StartedMS, r.Version = e.StartedMS, 2
			f.ApplyReport(r, -1, silent)
			assert.Equal(t, e.HeldVersion(model, silent), 2, "a sidecar has reported it")
		})
	}
}

// Guards against requests of a gateway that has just started to an engine whose listed version
// no sidecar has verified: the engine may have accepted a delayed order of its former process,
// and the gateway does not know what the sidecar reported last.
func TestNewGatewayWaitsForSidecarBeforeItBelievesList(t *testing.T) {
	f := New(Place{Zone: "z", StartedAt: start})
	loaded := listed("a", 1000, 2)
	loaded.WeightsConfigured = true
	f.Put(loaded)
	e := f.byAddress["a:1"]
	assert.Equal(t, e.HeldVersion(model, start), 0)
	assert.Equal(t, chosen(f, query(), start), "")
	assert.Equal(t, e.HeldVersion(model, start.Add(listedChangeDelay-time.Millisecond)), 0)
	assert.Equal(t, e.HeldVersion(model, start.Add(listedChangeDelay)), 2, "the sidecar is gone")

	r := report("a", 2, 0, 0)
	r.StartedMS = 1000
	f.ApplyReport(r, -1, start)
	assert.Equal(t, e.HeldVersion(model, start), 2, "the sidecar has reported it")
	assert.Equal(t, e.HeldVersion(model, start.Add(reportTTL)), 2, "the list shows what was reported last")

	f.Put(Record{ID: "b", Service: "s", Address: "b:1", Zone: "z", Models: map[string]int{model: 2}})
	assert.Equal(t, f.byAddress["b:1"].HeldVersion(model, start), 2, "no sidecar loads versions")
}
