// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/quarantine"
)

// Any value of the header that names the parts of a prompt must be forwarded unaltered, and
// must not be a reason to deny the request.
func TestPromptPartsAreForwardedUnaltered(t *testing.T) {
	g := newTestGateway(t)
	g.configure(1)
	g.startCrashableEndpoint("e", "engine", crashOnCrashBody)
	var many []string
	for n := range 2000 {
		many = append(many, fmt.Sprintf("%x:1", n))
	}
	for n, value := range []string{"", "5c1e07a2:800,91BD3f06:410,e4402b7d:250", "a:1,a:1,A:1", ",,:,zz", "no colon", strings.Join(many, ","), strings.Repeat("f", 30_000)} {
		r, _ := g.do("POST", "/stream/1", fmt.Sprint("text ", n), withHeader(testHeaders.PromptParts, value))
		assert.Equal(t, r.StatusCode, http.StatusOK)
		requests := g.requests()
		assert.Equal(t, len(requests), n+1)
		assert.Equal(t, requests[n].header.Get(testHeaders.PromptParts), value)
	}
}

// Requests that have only a part of their prompts in common must be rejected once three
// endpoints have crashed, at once and with the name of the part. Requests with their other
// parts must be served.
func TestRequestsWithCrashingPartAreRejected(t *testing.T) {
	const part = "bad00001"
	g := newTestGateway(t)
	g.configure(1)
	for n := range 8 {
		g.startCrashableEndpoint(fmt.Sprint("e", n), "engine", func(rw http.ResponseWriter, r *http.Request, _ string, crash func()) {
			if strings.Contains(r.Header.Get(testHeaders.PromptParts), part) {
				time.Sleep(40 * time.Millisecond) // the request has started to run
				crash()
			}
			_, _ = io.WriteString(rw, "id: 1\ndata: token\n\n")
		})
	}
	send := func(n int, parts string) (*http.Response, string) {
		return g.do("POST", "/stream/1", fmt.Sprint("text ", n), withHeader(testHeaders.PromptParts, fmt.Sprintf("%s:1,%08x:1", parts, n)))
	}
	for n := range 6 {
		before := len(g.requests())
		r, _ := send(n, "f1:1,"+part)
		assertQuarantineResponse(t, r, len(g.requests()) > before)
	}
	crashes := len(g.requests())
	assert.Assert(t, crashes >= quarantine.Threshold && crashes <= quarantine.Threshold+1, "%d crashes", crashes)
	r, body := send(100, "f1:1,"+strings.ToUpper(part))
	assertQuarantineResponse(t, r, false)
	assert.Assert(t, strings.Contains(body, "part "+part), body)
	r, _ = send(101, "f1:1,ab:1")
	assert.Equal(t, r.StatusCode, http.StatusOK)
}
