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

// BoxList is the platform's list of live and leaving boxes. Readers see a
// change only after the LagMS of Faults. The zero value is an empty list.
type BoxList struct {
	Faults Faults

	mu      sync.Mutex
	history []boxSnapshot
	reads   int
}

// boxSnapshot is the content of the box list from the moment at on, until the next
// snapshot.
type boxSnapshot struct {
	at    time.Time
	boxes []membership.Box
}

// Set replaces the list.
func (l *BoxList) Set(boxes []membership.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = append(l.history, boxSnapshot{at: time.Now(), boxes: slices.Clone(boxes)})
}

// Put adds a box, or replaces the one with the same ID.
func (l *BoxList) Put(b membership.Box) {
	l.update(func(boxes []membership.Box) []membership.Box {
		boxes = slices.DeleteFunc(boxes, func(o membership.Box) bool { return o.ID == b.ID })
		return append(boxes, b)
	})
}

// Remove deletes the box with the given ID, if it is listed.
func (l *BoxList) Remove(id string) {
	l.update(func(boxes []membership.Box) []membership.Box {
		return slices.DeleteFunc(boxes, func(o membership.Box) bool { return o.ID == id })
	})
}

// update calls f with a copy of the latest boxes and makes its result the new
// list.
func (l *BoxList) update(f func([]membership.Box) []membership.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var latest []membership.Box
	if n := len(l.history); n > 0 {
		latest = slices.Clone(l.history[n-1].boxes)
	}
	l.history = append(l.history, boxSnapshot{at: time.Now(), boxes: f(latest)})
}

// Reads returns the number of reads over HTTP so far.
func (l *BoxList) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// visible counts a read and returns the list as it was the configured lag
// (LagMS) ago.
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
		if l.Faults.beforeCall(w) {
			boxes := l.visible()
			httpserve.WriteWithETag(w, r, httpserve.ETag(boxes), boxes)
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
