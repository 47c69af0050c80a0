// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/mintlift/mintlift/internal/daycheck"
	"github.com/mintlift/mintlift/platform"
)

// dayPlan is a request that is to be sent.
type dayPlan struct {
	at       time.Duration // since the start of the load
	gateway  int
	route    dayRoute
	events   int // of a stream
	gap      time.Duration
	deadline time.Duration
	leave    time.Duration // after which the caller leaves, 0 if it stays
	// parts are those of the prompt but the last; empty for the usual ones.
	parts string
	form  responseForm
}

// body returns the body of the request. Its first line is what an endpoint needs to know of
// the plan.
func (p *dayPlan) body() string {
	return fmt.Sprintf("events=%d gap=%s %s\n", p.events, p.gap, &p.form) + strings.Repeat("x", p.form.padding)
}

// parse sets what the first line of body returned.
func (p *dayPlan) parse(line string) error {
	var gap string
	if _, err := fmt.Sscanf(line, "events=%d gap=%s", &p.events, &gap); err != nil {
		return err
	}
	var err error
	if p.gap, err = time.ParseDuration(gap); err != nil {
		return err
	}
	_, form, _ := strings.Cut(line, gap+" ")
	return p.form.scan(form)
}

// Mean lengths of requests, as drawn by drawPlans.
const (
	meanStreamTime = 900 * time.Millisecond
	plainShare     = 0.4 // of all requests
)

// drawPlans draws the requests of a day.
func (d *day) drawPlans() (out []*dayPlan) {
	rng, forms := rand.New(rand.NewPCG(d.Seed, 1)), rand.New(rand.NewPCG(d.Seed, 3))
	streams := d.Load * float64(d.Engines*d.Slots) / meanStreamTime.Seconds() // a second
	interval := time.Duration((1 - plainShare) / streams * float64(time.Second))
	for at := time.Duration(0); at < d.Length; at += time.Duration(rng.ExpFloat64() * float64(interval)) {
		p := &dayPlan{at: at, gateway: rng.IntN(d.Gateways), deadline: drawDuration(rng, 3*time.Second, 5*time.Second)}
		switch n := rng.Float64(); {
		case n < plainShare/2:
			p.route = dayRoutes[2]
		case n < plainShare:
			p.route = dayRoutes[3]
		case n < plainShare+(1-plainShare)*3/4:
			p.route = dayRoutes[0]
		default:
			p.route = dayRoutes[1]
		}
		p.gap = drawDuration(rng, 10*time.Millisecond, 300*time.Millisecond)
		if p.route.kind == "streaming" {
			p.events = 3 + rng.IntN(25)
			p.gap = drawDuration(rng, meanStreamTime/5, 9*meanStreamTime/5) / time.Duration(p.events)
		}
		if rng.IntN(12) == 0 {
			p.leave = drawDuration(rng, 20*time.Millisecond, 2*time.Second)
		}
		p.form = drawForm(forms)
		out = append(out, p)
	}
	return out
}

// callerPatience is the time after which a caller gives up once its time is up.
const callerPatience = time.Second

// send sends a request as planned and records what its caller sees.
func (d *dayRun) send(id string, p *dayPlan) {
	time.Sleep(time.Until(d.started.Add(p.at)))
	q := &daycheck.Request{ID: id, Service: p.route.service, Repeatable: p.route.kind == "safe" || p.route.resumable, Events: p.events, Want: dayAnswer, Sent: time.Now()}
	q.Limit = q.Sent.Add(min(p.deadline, p.route.timeout))
	patience := p.deadline + callerPatience
	if p.leave > 0 {
		patience = p.leave
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.bubble.gateways[p.gateway]+"/"+p.route.name+"/x", strings.NewReader(p.body()))
	if err != nil {
		d.t.Error(err)
		return
	}
	r.GetBody = nil // without retries by the transport
	h := platform.Headers()
	r.Host = "h.example"
	r.Header.Set(h.RequestID, id)
	r.Header.Set(h.Deadline, strconv.FormatInt(p.deadline.Milliseconds(), 10))
	if p.route.service == "e" {
		r.Header.Set(h.Model, weightsModel.Model)
		r.Header.Set(h.TokenUsage, fmt.Sprintf("100,%d", p.events))
		r.Header.Set(h.PromptParts, cmp.Or(p.parts, dayFirstPart)+":40,"+ownPart(id)+":60")
	}
	err = d.receive(d.bubble.callers[p.gateway], r, q)
	q.Complete, q.Ended = err == nil, time.Now()
	if err != nil {
		q.Failure = err.Error()
		q.Left = p.leave > 0 && ctx.Err() != nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen.Requests = append(d.seen.Requests, q)
}

// receive sends a request and reads its response.
func (d *dayRun) receive(caller *http.Client, r *http.Request, q *daycheck.Request) error {
	response, err := caller.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	q.Status = response.StatusCode
	if response.StatusCode != http.StatusOK || q.Events == 0 {
		body, err := io.ReadAll(response.Body)
		q.Failure, q.Body = string(body), string(body)
		return err
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return nil
		}
		if err != nil {
			return err
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			event, _ := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(data, q.ID+" ")))
			q.Got, q.GotAt = append(q.Got, event), append(q.GotAt, time.Now())
		}
	}
}
