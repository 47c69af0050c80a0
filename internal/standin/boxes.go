// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/membership"
)

// BoxList is the platform's list of live and leaving boxes. It lags by
// Faults.LagMS. The zero value is an empty list.
type BoxList struct {
	Faults Faults

	mu      sync.Mutex
	history []listed
	reads   int
}

type listed struct {
	at    time.Time
	boxes []membership.Box
}

// Set replaces the list.
func (l *BoxList) Set(boxes []membership.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, listed{at: time.Now(), boxes: slices.Clone(boxes)})
}

// Put adds a box, or replaces the one of the same identity.
func (l *BoxList) Put(b membership.Box) {
	l.edit(func(boxes []membership.Box) []membership.Box {
		boxes = slices.DeleteFunc(boxes, func(o membership.Box) bool { return o.ID == b.ID })
		return append(boxes, b)
	})
}

// Remove takes a box off the list.
func (l *BoxList) Remove(id string) {
	l.edit(func(boxes []membership.Box) []membership.Box {
		return slices.DeleteFunc(boxes, func(o membership.Box) bool { return o.ID == id })
	})
}

func (l *BoxList) edit(f func([]membership.Box) []membership.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var now []membership.Box
	if n := len(l.history); n > 0 {
		now = slices.Clone(l.history[n-1].boxes)
	}
	l.history = append(l.history, listed{at: time.Now(), boxes: f(now)})
}

// Reads returns how often the list has been read.
func (l *BoxList) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *BoxList) visible() []membership.Box {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	lag := time.Duration(l.Faults.Get().LagMS) * time.Millisecond
	out := []membership.Box{}
	for _, h := range l.history {
		if time.Since(h.at) >= lag {
			out = h.boxes
		}
	}
	return out
}

// Handler returns the list's HTTP API.
func (l *BoxList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /boxes", func(w http.ResponseWriter, r *http.Request) {
		if l.Faults.gate(w) {
			boxes := l.visible()
			httpserve.WriteTagged(w, r, httpserve.Tag(boxes), boxes)
		}
	})
	mux.HandleFunc("PUT /boxes/{id}", func(_ http.ResponseWriter, r *http.Request) {
		var b membership.Box
		if json.NewDecoder(r.Body).Decode(&b) == nil {
			l.Put(b)
		}
	})
	mux.HandleFunc("DELETE /boxes/{id}", func(_ http.ResponseWriter, r *http.Request) { l.Remove(r.PathValue("id")) })
	mux.HandleFunc("POST /faults", l.Faults.handle)
	return mux
}
