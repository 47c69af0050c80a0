// SPDX-License-Identifier: Apache-2.0

package backpressure

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Fields holds the names of the response headers in which an endpoint sends its
// signals.
type Fields struct {
	// Limit names the header with the rate limit, a decimal number of requests per
	// second. Draining names the header that has the value drainingValue if the
	// endpoint is draining. RetryAfter names the header with the backoff, a decimal
	// number of seconds, which is ignored unless the response has status 503.
	// ColdMS names the header with the time until the end of the endpoint's warm-up, a
	// decimal number of milliseconds.
	Limit, Draining, RetryAfter, ColdMS string
}

const (
	// drainingValue is the value of the Draining header of an endpoint that is draining.
	drainingValue = "1"
	// maxInvalidValue bounds the bytes of an invalid value that are kept for logging.
	maxInvalidValue = 40
)

// Decode returns the signal in a response. If a header is repeated, the strictest of
// its valid values applies: the lowest limit, the longest backoff and the longest warm-up.
func (f Fields) Decode(status int, h http.Header) Signal {
	var signal Signal
	invalid := func(name, value string) {
		signal.Invalid = append(signal.Invalid, name+": "+value[:min(len(value), maxInvalidValue)])
	}
	for _, value := range h[f.Limit] {
		rate, ok := parseDecimal(value)
		switch {
		case !ok:
			invalid(f.Limit, value)
		case !signal.Limit.Set || rate < signal.Limit.Rate:
			signal.Limit = Limited(rate)
		}
	}
	signal.Limit.Unchanged = !signal.Limit.Set && len(h[f.Limit]) > 0
	for _, value := range h[f.Draining] {
		if strings.TrimSpace(value) != drainingValue {
			invalid(f.Draining, value)
			continue
		}
		signal.Draining = true
	}
	for _, value := range h[f.ColdMS] {
		ms, ok := parseDecimal(value)
		if !ok {
			invalid(f.ColdMS, value)
			continue
		}
		signal.ColdReported = true
		signal.ColdRemaining = max(signal.ColdRemaining, secondsToDuration(ms/1000))
	}
	if status != http.StatusServiceUnavailable {
		return signal
	}
	for _, value := range h[f.RetryAfter] {
		s, ok := parseDecimal(value)
		if !ok {
			invalid(f.RetryAfter, value)
			continue
		}
		signal.Backoff = max(signal.Backoff, secondsToDuration(s))
	}
	return signal
}

// parseDecimal parses a decimal number: digits with at most one point, and no sign or
// exponent.
func parseDecimal(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if text == "" || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

// secondsToDuration converts seconds to a duration. Values that are too large give the
// longest duration.
func secondsToDuration(s float64) time.Duration {
	if s >= time.Duration(math.MaxInt64).Seconds() {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}
