// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Fields are the names of the headers by which an endpoint speaks of itself. A limit
// is a decimal number of requests a second, draining is said by drainingValue, and a
// backoff is a decimal number of seconds beside a 503.
type Fields struct {
	Limit, Draining, RetryAfter string
}

const (
	drainingValue = "1"
	// maxUnreadable bounds how much of an unreadable value is kept, in bytes.
	maxUnreadable = 40
)

// Decode decodes what an answer says of its endpoint. Of a field that is repeated
// the strictest value that can be read counts.
func (f Fields) Decode(status int, h http.Header) Signal {
	var w Signal
	unreadable := func(name, value string) {
		w.Unreadable = append(w.Unreadable, name+": "+value[:min(len(value), maxUnreadable)])
	}
	for _, value := range h[f.Limit] {
		rate, ok := decimal(value)
		switch {
		case !ok:
			unreadable(f.Limit, value)
		case !w.Limit.Named || rate < w.Limit.Rate:
			w.Limit = Limited(rate)
		}
	}
	w.Limit.Kept = !w.Limit.Named && len(h[f.Limit]) > 0
	for _, value := range h[f.Draining] {
		if strings.TrimSpace(value) != drainingValue {
			unreadable(f.Draining, value)
			continue
		}
		w.Draining = true
	}
	if status != http.StatusServiceUnavailable {
		return w
	}
	for _, value := range h[f.RetryAfter] {
		s, ok := decimal(value)
		if !ok {
			unreadable(f.RetryAfter, value)
			continue
		}
		w.Backoff = max(w.Backoff, duration(s))
	}
	return w
}

// decimal reads a decimal number: digits, and at most one point among them.
func decimal(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

// duration is so many seconds, or the longest time there is.
func duration(s float64) time.Duration {
	if s >= time.Duration(math.MaxInt64).Seconds() {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}
