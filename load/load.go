// SPDX-License-Identifier: Apache-2.0

// Package load sends a mix of callers' requests to gateways and reports
// what came back.
//
// Arrivals are open-loop: each request has an intended start drawn ahead,
// and latencies are measured from it, so a slow system does not slow its
// own test down or hide its queue. Every answer is checked: it must end
// with its mark, carry one request id and one version.
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

// Mix describes the load. It is read from JSON.
type Mix struct {
	Name string `json:"name"`
	// Rate is the mean number of requests a second, Seconds the duration.
	Rate    float64 `json:"rate"`
	Seconds float64 `json:"seconds"`
	// Seed makes the arrivals the same every run.
	Seed    uint64   `json:"seed"`
	Classes []Class  `json:"classes"`
	Targets []string `json:"-"`
}

// Class is one kind of requests.
type Class struct {
	Name string `json:"name"`
	// Share of the requests, relative to the other classes'.
	Share float64 `json:"share"`
	// KeyFile holds the workspace's key.
	KeyFile string `json:"key_file"`
	// Model asks a model engine; Service a plain service.
	Model   string `json:"model,omitempty"`
	Service string `json:"service,omitempty"`
	// Tokens is the length of the answer; Prefixes how many different
	// prompt starts there are.
	Tokens   int `json:"tokens,omitempty"`
	Prefixes int `json:"prefixes,omitempty"`
	// NotRepeatable is the share of requests that carry a key.
	NotRepeatable float64 `json:"not_repeatable,omitempty"`

	key string
}

// ReadMix reads a mix and the key files that it names.
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

// SetKey gives a class its key without a file.
func (c *Class) SetKey(key string) { c.key = key }

// Validate reports the first value that makes no load.
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

// ClassReport is what became of a class's requests. Times are in
// milliseconds from the intended start.
type ClassReport struct {
	Name     string                  `json:"name"`
	Sent     int                     `json:"sent"`
	Outcomes map[outcome.Outcome]int `json:"outcomes"`
	// Broken counts answers that were cut, mixed or not the request's own.
	Broken       int       `json:"broken"`
	FirstToken   Quantiles `json:"first_token_ms"`
	BetweenToken Quantiles `json:"between_tokens_ms"`
	Total        Quantiles `json:"total_ms"`
	// Refused is the time to a refusal.
	Refused Quantiles `json:"refused_ms"`
}

// Quantiles of a histogram, in milliseconds.
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
	// Versions counts completed answers by version.
	Versions map[string]int `json:"versions"`
	// NotRun lists the ids of requests refused as not run.
	NotRun []string `json:"-"`
}

// recorder collects one class's results.
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

func newRecorder(name string) *recorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(histogramMin, histogramMax, histogramDigits) }
	return &recorder{
		report:        ClassReport{Name: name, Outcomes: make(map[outcome.Outcome]int)},
		firstToken:    h(),
		betweenTokens: h(),
		total:         h(),
		refused:       h(),
		versions:      make(map[string]int),
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), histogramMin)) // past the highest value the run has failed anyway
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: ms(50), P95: ms(95), P99: ms(99)}
}

// add records one answer.
func (r *recorder) add(a response, intended time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Sent++
	if a.invalid {
		r.report.Broken++
	}
	r.report.Outcomes[a.outcome]++
	switch a.outcome {
	case outcome.Completed:
		r.versions[a.version]++
		recordDuration(r.total, a.end.Sub(intended))
		if !a.firstEvent.IsZero() {
			recordDuration(r.firstToken, a.firstEvent.Sub(intended))
		}
		for _, gap := range a.gaps {
			recordDuration(r.betweenTokens, gap)
		}
	case outcome.NotRun:
		r.notRun = append(r.notRun, a.requestID)
		recordDuration(r.refused, a.end.Sub(intended))
	}
}

func (r *recorder) result() ClassReport {
	out := r.report
	out.FirstToken, out.BetweenToken = quantiles(r.firstToken), quantiles(r.betweenTokens)
	out.Total, out.Refused = quantiles(r.total), quantiles(r.refused)
	return out
}

// Run sends the mix to its targets until it ends, and waits for the
// answers.
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
		at := pickClass(m.Classes, rng.Float64())
		target := m.Targets[n%len(m.Targets)]
		order := m.Classes[at].newRequest(rng)
		time.Sleep(time.Until(intended))
		requests.Add(1)
		go func(intended time.Time) {
			defer requests.Done()
			recorders[at].add(s.send(ctx, target, order), intended)
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

// pickClass chooses a class by its share.
func pickClass(classes []Class, at float64) int {
	sum := 0.0
	for _, c := range classes {
		sum += c.Share
	}
	at *= sum
	for i, c := range classes {
		if at < c.Share {
			return i
		}
		at -= c.Share
	}
	return len(classes) - 1
}
