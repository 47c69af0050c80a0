// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/enginetest"
	"github.com/mintlift/mintlift/platform/storetest"
)

// bubbleEndpoint is an engine or a plain service.
type bubbleEndpoint struct {
	bubble  *bubble
	service string
	address string
	zone    string
	engine  *enginetest.Engine // nil for a plain service
	started time.Time          // of a plain service

	mu       sync.Mutex
	unlisted bool // the endpoint list has no entry of it
}

// What endpoints announce, and how long they take for a request.
const (
	bubbleSlots     = 16
	bubbleTokens    = 5 // of a stream
	bubbleTokenTime = 8 * time.Millisecond
	bubblePlainTime = 15 * time.Millisecond
)

// list sets whether the endpoint list has an entry of the endpoint.
func (e *bubbleEndpoint) list(listed bool) {
	e.mu.Lock()
	e.unlisted = !listed
	e.mu.Unlock()
	e.writeEntry()
}

// writeEntry writes the entry in the endpoint list, or deletes it.
func (e *bubbleEndpoint) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unlisted {
		e.bubble.store.Put(storetest.Endpoints, "i-"+e.address, "")
		return
	}
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.bubble.slots, "state": "ready", "cold_remaining_ms": 0,
		"sequence": 0, "born": e.started.UnixMilli(),
	}
	if e.engine != nil {
		state := e.engine.State()
		entry["sequence"], entry["born"], entry["models"] = state.Orders, state.StartedMS, e.engine.Models()
	}
	e.bubble.store.Put(storetest.Endpoints, "i-"+e.address, e.bubble.encode(entry))
}

// ServeHTTP implements http.Handler.
func (e *bubbleEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.engine != nil && enginetest.IsEngineCall(r) {
		e.engine.ServeHTTP(w, r)
		return
	}
	e.bubble.respond(e, w, r)
}

// respond responds to a request at once.
func (e *bubbleEndpoint) respond(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := platform.Headers()
	w.Header().Set(h.RequestID, r.Header.Get(h.RequestID))
	w.Header().Set(h.Seal, "seal")
	if e.engine == nil {
		time.Sleep(bubblePlainTime)
		_, _ = io.WriteString(w, "answer")
		return
	}
	run, version := e.engine.BeginRequest()
	if expected := r.Header.Get(h.ExpectVersion); version == 0 || expected != "" && expected != strconv.Itoa(version) {
		w.Header().Del(h.Seal)
		w.Header().Set(h.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= bubbleTokens; n++ {
		time.Sleep(bubbleTokenTime)
		if r.Context().Err() != nil {
			return
		}
		if !e.engine.ContinueRequest(run) {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", n, version)
		w.(http.Flusher).Flush()
	}
}
