// SPDX-License-Identifier: Apache-2.0

// Package standin holds small stand-ins for the platform: the log service,
// the weight store with its origin, the box list, a model engine and a
// plain service. Each implements the protocol of the real service
// (docs/PLATFORM.md). Faults can be injected in process or with POST /faults.
// The stand-ins are for tests, the demo and benchmarks.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mintlift/mintlift/engine"
)

// FaultSettings are the faults that a stand-in, a test double of a service of the
// platform, injects.
type FaultSettings struct {
	// Down rejects every call with 503.
	Down bool `json:"down"`
	// DelayMS delays every response, in milliseconds.
	DelayMS int `json:"slow_ms"`
	// DropResponses is the number of next state-changing calls that take effect
	// but get no response: the connection is cut.
	DropResponses int `json:"lose_answers"`
	// LagMS is the delay, in milliseconds, until readers see a change.
	LagMS int `json:"lag_ms"`
	// CorruptEvery corrupts one in this many chunks sent; 0 corrupts none.
	CorruptEvery int `json:"corrupt_every"`
	// EndOffset, if positive, hides the log's entries from this offset on.
	EndOffset int64 `json:"show_offset"`
	// CutAfterTokens, if positive, cuts the next stream when it has sent this
	// many tokens.
	CutAfterTokens int `json:"die_after_tokens"`
	// HoldAfterTokens, if positive, pauses each generation that has this many tokens
	// while it is set.
	HoldAfterTokens int `json:"hold_after_tokens"`
	// MismatchedResponses sends responses with another request's ID.
	MismatchedResponses bool `json:"foreign_answers"`
	// MismatchedEvents replaces the second event of each stream by an event of
	// another request.
	MismatchedEvents bool `json:"foreign_events"`
	// Limited makes the engine report LimitRate as its rate limit.
	Limited bool `json:"limited"`
	// LimitRate is the reported rate limit in requests per second.
	LimitRate float64 `json:"limit_rate"`
	// Draining makes the engine report in each response that it is draining.
	Draining bool `json:"draining"`
	// BackoffSeconds, if positive, rejects all requests with status 503 and a
	// Retry-After header of this many seconds.
	BackoffSeconds float64 `json:"backoff_seconds"`
}

// Faults holds FaultSettings that may be changed at any time. The zero value
// injects no faults.
type Faults struct {
	mu         sync.Mutex
	settings   FaultSettings
	chunksSent int
}

// Set replaces the fault settings.
func (f *Faults) Set(s FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = s
}

// Get returns the current fault settings.
func (f *Faults) Get() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// beforeCall injects the faults DelayMS and Down. It returns false if it has
// rejected the call and written the response.
func (f *Faults) beforeCall(w http.ResponseWriter) bool {
	s := f.Get()
	if s.DelayMS > 0 {
		time.Sleep(time.Duration(s.DelayMS) * time.Millisecond)
	}
	if s.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// writeBackpressure adds the headers of the faults Limited, Draining and
// BackoffSeconds. It returns false if it has rejected the request and written
// the response.
func (f *Faults) writeBackpressure(w http.ResponseWriter) bool {
	s := f.Get()
	if s.Limited {
		w.Header().Set(engine.HeaderLimit, strconv.FormatFloat(s.LimitRate, 'f', -1, 64))
	}
	if s.Draining {
		w.Header().Set(engine.HeaderDraining, "1")
	}
	if s.BackoffSeconds <= 0 {
		return true
	}
	w.Header().Set("Retry-After", strconv.FormatFloat(s.BackoffSeconds, 'f', -1, 64))
	http.Error(w, "backing off", http.StatusServiceUnavailable)
	return false
}

// dropResponse reports whether to drop the response of the current call. If so,
// it decrements DropResponses.
func (f *Faults) dropResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.DropResponses == 0 {
		return false
	}
	f.settings.DropResponses--
	return true
}

// corruptChunk counts a sent chunk and reports whether to corrupt it.
func (f *Faults) corruptChunk() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chunksSent++
	return f.settings.CorruptEvery > 0 && f.chunksSent%f.settings.CorruptEvery == 0
}

// takeStreamCut returns CutAfterTokens for the current stream and clears it, so
// that only one stream is cut. 0 means that the stream is not cut.
func (f *Faults) takeStreamCut() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.settings.CutAfterTokens
	f.settings.CutAfterTokens = 0
	return n
}

// handle replaces the fault settings by those in the body.
func (f *Faults) handle(w http.ResponseWriter, r *http.Request) {
	var s FaultSettings
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.Set(s)
}

// abortConnection closes the connection of the current call without
// completing its response.
func abortConnection() { panic(http.ErrAbortHandler) }

// Server is a stand-in's HTTP server.
type Server struct {
	http *http.Server
	addr string
}

// Serve starts a server on address ("127.0.0.1:0" for any port).
func Serve(address string, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{http: &http.Server{Handler: h}, addr: ln.Addr().String()}
	go func() { _ = s.http.Serve(ln) }() // ends with ErrServerClosed at Close
	return s, nil
}

// Address returns the listener's IP:port.
func (s *Server) Address() string { return s.addr }

// Close stops the server and closes all connections.
func (s *Server) Close() { _ = s.http.Close() }

// writeJSON responds with the given HTTP status and body encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
