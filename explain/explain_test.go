// SPDX-License-Identifier: Apache-2.0

package explain

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// logs are log lines of several processes, some of them without valid JSON.
const logs = `  1.2 gateway-2 {"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"gateway: request","request":"r1","outcome":"answered"}
nonsense
{"time":"2026-01-01T00:00:01.5Z","level":"INFO","msg":"gateway: attempt","request":"r1","endpoint":"e1","holds":2}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"gateway: attempt","request":"r2","endpoint":"e1"}
{"time":"2026-01-01T00:00:00Z","level":"INFO","msg":"sidecar: start ordered","version":2}
{"cut
`

// lines returns the lines of logs that f selects, sorted by time.
func lines(t *testing.T, f Filter) []Line {
	t.Helper()
	out, err := Read(strings.NewReader(logs), "file", f)
	assert.NilError(t, err)
	Sort(out)
	return out
}

// TestRequestLinesSortedByTime guards against lines of a request that are out of
// order or have the wrong source.
func TestRequestLinesSortedByTime(t *testing.T) {
	got := lines(t, Request("r1"))
	assert.Equal(t, len(got), 2)
	assert.Equal(t, got[0].Message, "gateway: attempt")
	assert.Equal(t, got[0].Source, "file")
	assert.Equal(t, got[1].Source, "1.2 gateway-2")
	var out bytes.Buffer
	assert.NilError(t, Write(&out, got))
	assert.Assert(t, strings.Contains(out.String(), "    0.500s  1.2 gateway-2            gateway: request             outcome=answered request=r1"), out.String())
}

// TestIdentitySelectsAllAttempts guards against missing the retries of a request,
// which have other request ids.
func TestIdentitySelectsAllAttempts(t *testing.T) {
	const attempts = `{"time":"2026-01-01T00:00:02Z","msg":"gateway: request","request":"r1","identity":"1f","outcome":"failed"}
{"time":"2026-01-01T00:00:01Z","msg":"gateway: endpoint crashed","request":"r1","identity":"1f","crashes":1}
{"time":"2026-01-01T00:00:03Z","msg":"gateway: request","request":"r2","identity":"1f","outcome":"quarantined"}
{"time":"2026-01-01T00:00:03Z","msg":"gateway: request","request":"1f","identity":"2e","outcome":"answered"}
`
	got, err := Read(strings.NewReader(attempts), "file", Identity("1f"))
	assert.NilError(t, err)
	assert.Equal(t, len(got), 3)
}

// TestEndpointAndVersion checks which lines are selected by endpoint and by version.
func TestEndpointAndVersion(t *testing.T) {
	assert.Equal(t, len(lines(t, Endpoint("e1"))), 2)
	assert.Equal(t, len(lines(t, Version("2"))), 2)
	assert.Equal(t, len(lines(t, Request("none"))), 0)
}
