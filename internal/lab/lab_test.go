// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/standin"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/weights"
)

// v1 is the first version of the model weights that the tests install.
var v1 = weights.Ref{Model: "celeste-draft", Version: "v1"}

// lastLab is the number of the last lab started by startLab.
var lastLab atomic.Uint32

// startLab starts a lab for a test, at an IP address of its own unless c has one,
// and waits until its gateways reach its boxes. The returned context, for the
// test's calls, ends after a minute.
func startLab(t *testing.T, c Config) (*Lab, context.Context) {
	t.Helper()
	if c.IP == "" {
		n := lastLab.Add(1)
		c.IP = fmt.Sprintf("127.90.%d.%d", n/250, 1+n%250)
	}
	l, err := Start(c)
	assert.NilError(t, err)
	t.Cleanup(l.Close)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	assert.NilError(t, l.AwaitBoxes(ctx, c.Engines+c.Services))
	return l, ctx
}

// chat sends a request for a streamed chat completion of 5 tokens and returns
// the response, whose body has been closed, and the body's text.
func chat(t *testing.T, l *Lab, gateway int, workspace, model string) (*http.Response, string) {
	t.Helper()
	body := `{"model":"` + model + `","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hola"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+l.Gateways[gateway].CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey(workspace))
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, string(b)
}

// TestRolloutServesBothGateways checks that a version that an operator's intent rolls out to
// six engines is loaded once by each, and that callers get streamed responses
// from it through both gateways.
func TestRolloutServesBothGateways(t *testing.T) {
	t.Parallel()
	l, ctx := startLab(t, Config{Gateways: 2, Engines: 6, ChecksFences: true, Zones: []membership.AvailabilityZone{{Region: "r1", Zone: "a"}, {Region: "r2", Zone: "b"}}})
	l.Store.Publish(standin.NewManifest(v1, 4<<20, 64<<10))
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 1))
	p, err := l.Rollout(ctx, intent.Intent{Ref: v1, Workspaces: []string{"liceo"}, Weighing: intent.OriginBytes})
	assert.NilError(t, err)
	assert.Equal(t, p.Status, intent.Confirmed)
	done, err := l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	assert.Equal(t, done.Serving, 6)
	for _, b := range l.Boxes {
		assert.DeepEqual(t, b.Engine.Orders(), []string{"load " + v1.String()})
	}
	for g := range l.Gateways {
		var resp *http.Response
		var text string
		for range 100 {
			if resp, text = chat(t, l, g, "liceo", v1.Model); resp.StatusCode == http.StatusOK {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		assert.Equal(t, resp.StatusCode, http.StatusOK, text)
		assert.Equal(t, resp.Header.Get("Mintlift-Version"), v1.String())
		assert.Assert(t, strings.Contains(text, v1.String()+"/"+resp.Header.Get("Mintlift-Request-Id")+"/4 "), text)
		assert.Assert(t, strings.HasSuffix(text, "data: [DONE]\n\n"), text)
	}
	copies := float64(l.Store.OriginBytes()) / float64(4<<20)
	t.Logf("origin copies %.3f, cross-region copies %.3f", copies, float64(done.CrossBytes)/float64(4<<20))
}
