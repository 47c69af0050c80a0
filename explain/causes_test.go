// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// requestEndLines are log lines of which the first four are the end of a request.
const requestEndLines = `  1.2 gateway-2 {"time":"2026-01-01T00:00:00.1Z","msg":"gateway: request","request":"r1","outcome":"refused","cause":"no endpoint has room","returned":false}
{"time":"2026-01-01T00:00:01.9Z","msg":"gateway: request","request":"r2","outcome":"refused","cause":"no endpoint has room","returned":false}
{"time":"2026-01-01T00:00:01Z","msg":"gateway: request","request":"r3","outcome":"broken_off","cause":"stream broke off: read tcp 127.0.0.1:1: reset","returned":true}
{"time":"2026-01-01T00:00:02Z","msg":"gateway: request","request":"r4","outcome":"answered","cause":""}
{"time":"2026-01-01T00:00:01Z","msg":"gateway: attempt","request":"r3","endpoint":"e"}
{"time":"2026-01-01T00:00:01Z","outcome":"cut
`

// TestCausesByWindow guards against counting requests in the wrong window, and
// against counting log lines that are not the end of a request.
func TestCausesByWindow(t *testing.T) {
	c := NewCauses(2 * time.Second)
	assert.NilError(t, c.Add(strings.NewReader(requestEndLines)))
	list := c.List()
	first := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	assert.DeepEqual(t, list, []Cause{
		{Window: first, Outcome: "refused", Cause: "no endpoint has room", Requests: 2},
		{Window: first, Outcome: "broken_off", Cause: "stream broke off", CallerRetry: true, Requests: 1},
		{Window: first.Add(2 * time.Second), Outcome: "answered", Requests: 1},
	})
	var out bytes.Buffer
	assert.NilError(t, WriteCauses(&out, list))
	assert.Assert(t, strings.Contains(out.String(), "     2.0        1  answered"), out.String())
}
