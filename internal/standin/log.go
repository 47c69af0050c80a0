// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/mintlift/mintlift/eventlog"
)

// appendsPerSecond is a quarter of the rate that the smallest deployment's
// store bears: what passes here has room to spare there.
const appendsPerSecond = 100

// Log is the log service: append-only streams with offsets, a bounded rate
// of appends and bounded retention. Use NewLog.
type Log struct {
	Faults Faults
	// Keep is how many records a stream keeps; 0 keeps all.
	Keep int

	mu      sync.Mutex
	era     int64
	streams map[string]*stream
	limit   *rate.Limiter
	appends int
	reads   int
}

type stream struct {
	first   int64
	entries []eventlog.Entry
	times   []time.Time
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{streams: make(map[string]*stream), limit: rate.NewLimiter(appendsPerSecond, appendsPerSecond)}
}

// Handler returns the log's HTTP API.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.append)
	mux.HandleFunc("GET /streams/{stream}/records", l.read)
	mux.HandleFunc("POST /faults", l.Faults.handle)
	return mux
}

// Counts returns how many appends and reads have been answered.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Entries returns a copy of a stream's kept entries.
func (l *Log) Entries(name string) []eventlog.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]eventlog.Entry(nil), l.stream(name).entries...)
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if !l.Faults.gate(w) {
		return
	}
	if !l.limit.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "over the rate of appends", http.StatusTooManyRequests)
		return
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || !json.Valid(data) {
		http.Error(w, "record is not JSON", http.StatusBadRequest)
		return
	}
	offset := l.Add(r.PathValue("stream"), data)
	if l.Faults.lose() {
		cut()
	}
	answerJSON(w, http.StatusOK, eventlog.AppendResponse{Offset: offset})
}

// Add appends data, past the rate and the faults.
func (l *Log) Add(name string, data []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	s := l.stream(name)
	offset := s.first + int64(len(s.entries))
	s.entries = append(s.entries, eventlog.Entry{Offset: offset, Data: data})
	s.times = append(s.times, time.Now())
	if extra := len(s.entries) - l.Keep; l.Keep > 0 && extra > 0 {
		s.entries, s.times = s.entries[extra:], s.times[extra:]
		s.first += int64(extra)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset
}

// GoBack leaves the first n entries of a stream that are kept: what was appended
// since is gone, and its offsets are given out again. A new era begins.
func (l *Log) GoBack(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n = min(n, len(s.entries))
	s.entries, s.times = s.entries[:n:n], s.times[:n:n]
	l.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.Faults.gate(w) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64) // a missing value reads from the start
	limit, _ := strconv.Atoi(q.Get("limit"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page, changed := l.page(r.PathValue("stream"), from, limit)
		if from < page.First {
			answerJSON(w, http.StatusGone, page)
			return
		}
		if len(page.Records) > 0 || wait == 0 {
			answerJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (l *Log) page(name string, from int64, limit int) (eventlog.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	s := l.stream(name)
	f := l.Faults.Get()
	p := eventlog.Page{Era: l.era, First: s.first, Next: s.first + int64(len(s.entries)), Records: []eventlog.Entry{}}
	if f.ShowOffset > 0 {
		p.Next = min(p.Next, f.ShowOffset)
	}
	for i, e := range s.entries {
		seen := time.Since(s.times[i]) >= time.Duration(f.LagMS)*time.Millisecond
		if e.Offset >= from && e.Offset < p.Next && seen && (limit == 0 || len(p.Records) < limit) {
			p.Records = append(p.Records, e)
		}
	}
	return p, s.changed
}
