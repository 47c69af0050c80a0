// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mintlift/mintlift/internal/daycheck"
	"github.com/mintlift/mintlift/platform"
	"github.com/mintlift/mintlift/platform/enginetest"
)

// dayEndpoint is an endpoint of a day. It runs requests in slots, and the body of a
// request says how long it takes.
type dayEndpoint struct {
	*bubbleEndpoint
	day     *dayRun
	silence *enginetest.Silence // that of the engine, if it is one
	slots   chan struct{}       // holds the places that are taken
	queued  atomic.Int32

	mu   sync.Mutex
	dead chan struct{} // closed when the endpoint crashes
	down bool          // since a crash
}

// dayQueue is the number of requests that may wait for a slot, per slot.
const dayQueue = 2

// newDayEndpoint returns the endpoint of a day for one of its bubble.
func newDayEndpoint(d *dayRun, b *bubbleEndpoint) *dayEndpoint {
	e := &dayEndpoint{bubbleEndpoint: b, day: d, silence: new(enginetest.Silence), slots: make(chan struct{}, b.bubble.slots), dead: make(chan struct{})}
	if b.engine != nil {
		e.silence = &b.engine.Silence
		b.engine.Load = func() (int, int) { return len(e.slots), int(e.queued.Load()) }
	}
	return e
}

// crash breaks off all requests, and starts the endpoint again after a time.
func (e *dayEndpoint) crash(d time.Duration) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	close(e.dead)
	e.mu.Unlock()
	e.day.recordCrash(e.address, time.Now())
	if e.engine != nil {
		e.engine.Restart(false)
	}
	time.Sleep(d)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down, e.dead = false, make(chan struct{})
}

// life returns the channel that is closed when the endpoint crashes, and false while it is
// down.
func (e *dayEndpoint) life() (dead chan struct{}, up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead, !e.down
}

// dayExchange is a request in progress at an endpoint.
type dayExchange struct {
	*dayEndpoint
	w    http.ResponseWriter
	r    *http.Request
	dead chan struct{}
	run  *daycheck.Run
	form responseForm
	// firstRun is set if this is the first run of the request.
	firstRun bool
}

// end records how the run has ended.
func (x *dayExchange) end(how daycheck.End) {
	x.day.mu.Lock()
	defer x.day.mu.Unlock()
	x.run.End, x.run.Ended = how, time.Now()
}

// breakOff ends the run and its connection. The end of an unframed response is a reset, since
// a close would complete it.
func (x *dayExchange) breakOff(how daycheck.End) {
	x.end(how)
	if x.form.unframed {
		abortConn(x.r)
	}
	panic(http.ErrAbortHandler)
}

// sleep waits for d, and while the endpoint stands still. It does not return if the run is
// canceled or the endpoint crashes.
func (x *dayExchange) sleep(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for waiting := true; waiting; {
		select {
		case <-timer.C:
			waiting = false
		case <-x.dead:
			x.breakOff(daycheck.Broke)
		case <-x.r.Context().Done():
			x.breakOff(daycheck.Canceled)
		}
	}
	if !x.silence.Wait(x.r.Context().Done()) {
		x.breakOff(daycheck.Canceled)
	}
	select {
	case <-x.dead:
		x.breakOff(daycheck.Broke)
	default:
	}
}

// serve responds to a request and records its run.
func (e *dayEndpoint) serve(w http.ResponseWriter, r *http.Request) {
	body := bufio.NewReader(r.Body)
	line, err := body.ReadString('\n')
	if err != nil {
		panic(http.ErrAbortHandler) // an incomplete request does not run
	}
	h := platform.Headers()
	var plan dayPlan
	if err := plan.parse(line); err != nil {
		e.day.t.Errorf("request %s has the body %q", r.Header.Get(h.RequestID), line)
	}
	if !plan.form.early {
		n, err := io.Copy(io.Discard, body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if n != int64(plan.form.padding) {
			e.day.t.Errorf("request %s has %d of %d bytes after its first line", r.Header.Get(h.RequestID), n, plan.form.padding)
		}
	}
	dead, up := e.life()
	x := &dayExchange{dayEndpoint: e, w: w, r: r, dead: dead, run: &daycheck.Run{Request: r.Header.Get(h.RequestID), Service: e.service, Endpoint: e.address, At: time.Now()}}
	x.run.Unframed = plan.form.unframed
	x.form, x.firstRun = plan.form, e.day.add(x.run)
	if !up {
		x.breakOff(daycheck.Broke)
	}
	plan.form.prepare(w, e.engine == nil)
	w.Header().Set(h.RequestID, x.run.Request)
	x.sleep(0)
	run, ok := x.take()
	if !ok {
		return
	}
	defer func() { <-e.slots }()
	w.Header().Set(h.Seal, "seal")
	if e.engine == nil {
		x.sleep(plan.gap / 2)
		x.respond(dayAnswer[:len(dayAnswer)/2])
		x.sleep(plan.gap / 2)
		x.interrupt()
		x.respond(dayAnswer[len(dayAnswer)/2:])
		x.end(daycheck.Finished)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	x.crashOnBadPart()
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := from + 1; n <= plan.events; n++ {
		x.sleep(plan.gap)
		if !e.engine.ContinueRequest(run) {
			x.breakOff(daycheck.Replaced)
		}
		x.day.mu.Lock()
		x.run.From, x.run.To = from, n
		x.day.mu.Unlock()
		x.respond(fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, x.run.Request, n))
		if n == (from+1+plan.events)/2 {
			x.sleep(plan.gap)
			x.interrupt()
		}
	}
	x.end(daycheck.Finished)
}

// respond sends a part of the response.
func (x *dayExchange) respond(text string) {
	_, _ = io.WriteString(x.w, text)
	x.w.(http.Flusher).Flush()
}

// take waits for a slot. It returns false if the request has been refused.
func (x *dayExchange) take() (run enginetest.Run, ok bool) {
	if x.engine != nil {
		expected := x.r.Header.Get(platform.Headers().ExpectVersion)
		if v := x.engine.State().Version; v != 0 && expected != "" && expected != strconv.Itoa(v) {
			x.refuse(http.StatusMisdirectedRequest)
			return run, false
		}
		if run, ok = x.engine.QueueRequest(); !ok {
			x.refuse(http.StatusServiceUnavailable)
			return run, false
		}
	}
	if int(x.queued.Add(1)) > dayQueue*cap(x.slots) {
		x.queued.Add(-1)
		x.refuse(http.StatusServiceUnavailable)
		return run, false
	}
	defer x.queued.Add(-1)
	select {
	case x.slots <- struct{}{}:
	case <-x.dead:
		x.breakOff(daycheck.Broke)
	case <-x.r.Context().Done():
		x.breakOff(daycheck.Canceled)
	}
	if x.engine != nil && x.engine.BeginQueuedRequest(run) == 0 {
		<-x.slots
		x.breakOff(daycheck.Replaced)
	}
	return run, true
}

// refuse responds that the request has not run.
func (x *dayExchange) refuse(status int) {
	x.end(daycheck.NotRun)
	x.w.Header().Set(platform.Headers().NotRun, "1")
	x.w.WriteHeader(status)
}
