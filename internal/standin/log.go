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

// appendsPerSecond limits the appends over HTTP, as the platform's log does.
const appendsPerSecond = 100

// Log is the log service: append-only streams with offsets, a bounded rate
// of appends and bounded retention. Use NewLog.
type Log struct {
	Faults Faults
	// Keep is the number of newest records that a stream retains; 0 retains
	// all.
	Keep int

	mu      sync.Mutex
	era     int64 // incremented by each Rollback
	streams map[string]*stream
	limit   *rate.Limiter // of appends over HTTP
	appends int
	reads   int
}

// stream is one stream of a Log.
type stream struct {
	first   int64 // offset of the oldest retained entry
	entries []eventlog.Entry
	times   []time.Time   // append time of each entry
	changed chan struct{} // closed and replaced with each change
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

// Counts returns the number of appends, and of pages read, so far.
func (l *Log) Counts() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// Entries returns a copy of a stream's retained entries.
func (l *Log) Entries(name string) []eventlog.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]eventlog.Entry(nil), l.stream(name).entries...)
}

// stream returns the named stream, and creates it if necessary. The caller
// holds l.mu.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// append appends the record in the body to a stream, subject to the rate limit and the
// faults, and responds with the record's offset.
func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	if !l.Faults.beforeCall(w) {
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
	if l.Faults.dropResponse() {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, eventlog.AppendResponse{Offset: offset})
}

// Add appends a record and returns its offset. The rate limit and the faults
// do not apply to it.
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

// Rollback rolls a stream back to its first n retained entries, as if the log
// had been restored from an older copy. Later appends reuse the offsets of the
// removed entries; the incremented era tells them apart.
func (l *Log) Rollback(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n = min(n, len(s.entries))
	s.entries, s.times = s.entries[:n:n], s.times[:n:n]
	l.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// read responds with the entries from an offset on. It waits up to wait_ms for an entry if
// there is none, and responds 410 if the offset is no longer retained.
func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	if !l.Faults.beforeCall(w) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64) // 0 if missing
	limit, _ := strconv.Atoi(q.Get("limit"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		page, changed := l.page(r.PathValue("stream"), from, limit)
		if from < page.First {
			writeJSON(w, http.StatusGone, page)
			return
		}
		if len(page.Records) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, page)
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

// page counts a read. It returns the visible entries from offset from on, and a
// channel that is closed when the stream changes. limit is the maximum number
// of entries; 0 means no limit.
func (l *Log) page(name string, from int64, limit int) (eventlog.Page, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	s := l.stream(name)
	f := l.Faults.Get()
	p := eventlog.Page{Era: l.era, First: s.first, Next: s.first + int64(len(s.entries)), Records: []eventlog.Entry{}}
	if f.EndOffset > 0 {
		p.Next = min(p.Next, f.EndOffset)
	}
	for i, e := range s.entries {
		visible := time.Since(s.times[i]) >= time.Duration(f.LagMS)*time.Millisecond
		if e.Offset >= from && e.Offset < p.Next && visible && (limit == 0 || len(p.Records) < limit) {
			p.Records = append(p.Records, e)
		}
	}
	return p, s.changed
}
