// SPDX-License-Identifier: Apache-2.0

// Package load is an open-loop load generator for gateways.
//
// The start time of each request is drawn in advance, and latencies are measured
// from it. A slow system therefore neither reduces the load nor hides its
// queueing delay. Each stream is validated: it must end with [DONE], and all its
// events must have the same request id and version.
package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/outcome"
)

// Mix describes the load: request classes and their arrival rate.
type Mix struct {
	Name string `json:"name"`
	// Rate is the mean number of requests per second. Seconds is the duration
	// of the load.
	Rate    float64 `json:"rate"`
	Seconds float64 `json:"seconds"`
	// Seed makes arrivals and requests reproducible.
	Seed    uint64  `json:"seed"`
	Classes []Class `json:"classes"`
	// Targets are the gateways' addresses (host:port), used in turn.
	Targets []string `json:"-"`
}

// Class is a kind of request.
type Class struct {
	Name string `json:"name"`
	// Share is the class's weight relative to those of the other classes.
	Share float64 `json:"share"`
	// KeyFile is the path of the file with the workspace's key.
	KeyFile string `json:"key_file"`
	// Model is the model to call, or Service the plain service. Exactly one of
	// them must be set.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Tokens is the requested length of a model's response. Prefixes is the
	// number of different prompts. 0 counts as 1 for both.
	Tokens   int `json:"tokens,omitempty"`
	Prefixes int `json:"prefixes,omitempty"`
	// NotRepeatable is the share of requests that carry an idempotency key.
	NotRepeatable float64 `json:"not_repeatable,omitempty"`

	key string
}

// ReadMix reads a mix in JSON and its classes' key files, and validates it.
func ReadMix(file string) (Mix, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Mix{}, errors.Trace(err)
	}
	var m Mix
	dec := json.NewDecoder(strings.NewReader(string(b)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return m, errors.NewNotValid(err, "mix "+file)
	}
	for i := range m.Classes {
		key, err := os.ReadFile(m.Classes[i].KeyFile)
		if err != nil {
			return m, errors.Annotatef(err, "class %s", m.Classes[i].Name)
		}
		m.Classes[i].SetKey(strings.TrimSpace(string(key)))
	}
	return m, m.Validate()
}

// SetKey sets the workspace's key without reading KeyFile.
func (c *Class) SetKey(key string) { c.key = key }

// Validate checks the rate, the duration and the classes. It returns an
// errors.NotValid error for the first invalid value.
func (m *Mix) Validate() error {
	if m.Rate <= 0 || m.Seconds <= 0 || len(m.Classes) == 0 {
		return errors.NotValidf("mix %q: rate %g, seconds %g, %d classes", m.Name, m.Rate, m.Seconds, len(m.Classes))
	}
	for _, c := range m.Classes {
		if c.Share <= 0 || (c.Model == "") == (c.Service == "") {
			return errors.NotValidf("class %q: share %g, model %q, service %q", c.Name, c.Share, c.Model, c.Service)
		}
	}
	return nil
}

// Histogram bounds, in microseconds.
const (
	histogramMin    = 1
	histogramMax    = 10 * 60 * 1000 * 1000
	histogramDigits = 3
)

// ClassReport summarizes the requests of a class. Durations are in milliseconds and
// measured from the start time drawn for the request (see the package comment),
// except BetweenToken: the durations between consecutive tokens.
type ClassReport struct {
	Name     string                  `json:"name"`
	Sent     int                     `json:"sent"`
	Outcomes map[outcome.Outcome]int `json:"outcomes"`
	// Broken counts responses that were truncated or had an event of another
	// request or version.
	Broken       int       `json:"broken"`
	FirstToken   Quantiles `json:"first_token_ms"`
	BetweenToken Quantiles `json:"between_tokens_ms"`
	Total        Quantiles `json:"total_ms"`
	// Refused is the duration until the refusal of a request with outcome not run.
	Refused Quantiles `json:"refused_ms"`
}

// Quantiles are quantiles of a histogram, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Report is the result of a run.
type Report struct {
	Mix     string        `json:"mix"`
	Rate    float64       `json:"rate"`
	Seconds float64       `json:"seconds"`
	Classes []ClassReport `json:"classes"`
	// Versions counts completed requests by the version that served them.
	Versions map[string]int `json:"versions"`
	// NotRun lists the ids of the requests with outcome not run.
	NotRun []string `json:"-"`
}

// recorder collects the results of one class. mu guards all other fields while
// requests are in flight.
type recorder struct {
	mu            sync.Mutex
	report        ClassReport
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
	refused       *hdrhistogram.Histogram
	versions      map[string]int
	notRun        []string
}

// newRecorder returns an empty recorder for the class with the given name.
func newRecorder(name string) *recorder {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(histogramMin, histogramMax, histogramDigits) }
	return &recorder{
		report:        ClassReport{Name: name, Outcomes: make(map[outcome.Outcome]int)},
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		total:         newHistogram(),
		refused:       newHistogram(),
		versions:      make(map[string]int),
	}
}

// recordDuration adds a duration to a histogram of microseconds.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), histogramMin)) // fails above histogramMax only; such values are dropped
}

// quantiles returns the quantiles of a histogram of microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// add records the result of a request. intended is the start time that was drawn
// for it.
func (r *recorder) add(result response, intended time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	if result.invalid {
		r.report.Broken++
	}
	r.report.Outcomes[result.outcome]++
	switch result.outcome {
	case outcome.Completed:
		r.versions[result.version]++
		recordDuration(r.total, result.end.Sub(intended))
		if !result.firstEvent.IsZero() {
			recordDuration(r.firstToken, result.firstEvent.Sub(intended))
		}
		for _, gap := range result.gaps {
			recordDuration(r.betweenTokens, gap)
		}
	case outcome.NotRun:
		r.notRun = append(r.notRun, result.requestID)
		recordDuration(r.refused, result.end.Sub(intended))
	}
}

// result returns the report of the class. No requests may be in flight.
func (r *recorder) result() ClassReport {
	out := r.report
	out.FirstToken, out.BetweenToken = quantiles(r.firstToken), quantiles(r.betweenTokens)
	out.Total, out.Refused = quantiles(r.total), quantiles(r.refused)
	return out
}

// Run sends the requests of a mix to its targets for the mix's duration, or until
// ctx is done. It returns after all responses have ended.
func Run(ctx context.Context, m Mix) (Report, error) {
	if err := m.Validate(); err != nil {
		return Report{}, err
	}
	rng := rand.New(rand.NewPCG(m.Seed, 1))
	recorders := make([]*recorder, len(m.Classes))
	for i, c := range m.Classes {
		recorders[i] = newRecorder(c.Name)
	}
	s := newSender()
	var requests sync.WaitGroup
	intended := time.Now()
	end := intended.Add(time.Duration(m.Seconds * float64(time.Second)))
	for n := 0; ctx.Err() == nil; n++ {
		intended = intended.Add(time.Duration(rng.ExpFloat64() / m.Rate * float64(time.Second)))
		if intended.After(end) {
			break
		}
		class := pickClass(m.Classes, rng.Float64())
		target := m.Targets[n%len(m.Targets)]
		spec := m.Classes[class].newRequest(rng)
		time.Sleep(time.Until(intended))
		requests.Add(1)
		go func(intended time.Time) {
			defer requests.Done()
			recorders[class].add(s.send(ctx, target, spec), intended)
		}(intended)
	}
	requests.Wait()
	out := Report{Mix: m.Name, Rate: m.Rate, Seconds: m.Seconds, Versions: make(map[string]int)}
	for _, r := range recorders {
		out.Classes = append(out.Classes, r.result())
		out.NotRun = append(out.NotRun, r.notRun...)
		for v, n := range r.versions {
			out.Versions[v] += n
		}
	}
	return out, nil
}

// pickClass returns the index of a class, drawn by the classes' shares. point is
// a uniform random number from 0 to 1.
func pickClass(classes []Class, point float64) int {
	sum := 0.0
	for _, c := range classes {
		sum += c.Share
	}
	point *= sum
	for i, c := range classes {
		if point < c.Share {
			return i
		}
		point -= c.Share
	}
	return len(classes) - 1
}
