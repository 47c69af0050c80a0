// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/mintlift/mintlift/internal/daycheck"
)

// responseForm says how an endpoint responds to a request, and how long the request is. The
// zero value is the form of most requests.
type responseForm struct {
	padding  int  // bytes by which the request is longer
	unframed bool // the response has neither a length nor chunks
	length   bool // a plain response has a length; it has chunks otherwise
	// early is set if the response begins before the endpoint has read the request, and
	// readsOn if it reads the rest amid the response.
	early, readsOn bool
	// reset is set if the endpoint resets the connection of the first run amid the response.
	reset bool
}

const (
	unusualForms = 12 // one in so many requests has an unusual form
	minPadding   = 1 << 10
	maxPadding   = 1<<20 - 1<<10 // below max_body_bytes
)

// drawForm draws the form of a request.
func drawForm(rng *rand.Rand) (f responseForm) {
	if rng.IntN(unusualForms) > 0 {
		return f
	}
	for f.padding = minPadding; f.padding < maxPadding/2 && rng.IntN(6) > 0; {
		f.padding *= 2
	}
	f.padding += rng.IntN(f.padding)
	f.padding = min(f.padding, maxPadding)
	f.unframed = rng.IntN(2) == 0
	f.length = !f.unframed && rng.IntN(2) == 0
	f.early = rng.IntN(2) == 0
	f.readsOn = f.early && rng.IntN(2) == 0
	f.reset = rng.IntN(3) == 0
	return f
}

const formFormat = "padding=%d unframed=%t length=%t early=%t readsOn=%t reset=%t"

// String returns the form as scan reads it.
func (f *responseForm) String() string {
	return fmt.Sprintf(formFormat, f.padding, f.unframed, f.length, f.early, f.readsOn, f.reset)
}

// scan sets what String returned.
func (f *responseForm) scan(text string) error {
	_, err := fmt.Sscanf(text, formFormat, &f.padding, &f.unframed, &f.length, &f.early, &f.readsOn, &f.reset)
	return err
}

// connKey is the key of an endpoint's connection in the context of its requests.
type connKey struct{}

// withConn is a http.Server.ConnContext.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// abortConn makes the connection of a request end with a reset.
func abortConn(r *http.Request) {
	_ = r.Context().Value(connKey{}).(interface{ SetLinger(int) error }).SetLinger(0)
}

// prepare sets what the form says of the response's head.
func (f *responseForm) prepare(w http.ResponseWriter, plain bool) {
	switch {
	case f.unframed:
		w.Header().Set("Transfer-Encoding", "identity")
	case f.length && plain:
		w.Header().Set("Content-Length", fmt.Sprint(len(dayAnswer)))
	}
	if f.early {
		_ = http.NewResponseController(w).EnableFullDuplex() // supported by net/http's server
	}
	if f.early && !f.readsOn {
		w.Header().Set("Connection", "close")
	}
}

// dayAnswer is the body of a plain response.
const dayAnswer = "answer"

// interrupt is called amid the response. It reads the rest of an early request, or resets the
// connection, if the form says so.
func (x *dayExchange) interrupt() {
	if x.form.reset && x.firstRun {
		abortConn(x.r)
		x.breakOff(daycheck.Broke)
	}
	if !x.form.readsOn {
		return
	}
	if _, err := io.Copy(io.Discard, x.r.Body); err != nil {
		x.breakOff(daycheck.Canceled)
	}
}
