// SPDX-License-Identifier: Apache-2.0

package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/internal/invariant"
	"github.com/mintlift/mintlift/internal/standin"
)

// startServing starts a lab that serves v1 on all engines to workspace liceo.
func startServing(t *testing.T, c Config) (*Lab, context.Context) {
	t.Helper()
	l, ctx := startLab(t, c)
	l.Store.Publish(standin.NewManifest(v1, 1<<20, 64<<10))
	assert.NilError(t, l.AddWorkspace(ctx, "liceo", 40, 0))
	p, err := l.Rollout(ctx, intent.Intent{Ref: v1, Workspaces: []string{"liceo"}})
	assert.NilError(t, err)
	_, err = l.AwaitDone(ctx, p.ID)
	assert.NilError(t, err)
	l.awaitServing(t)
	return l, ctx
}

// awaitServing waits until a request through each gateway succeeds.
func (l *Lab) awaitServing(t *testing.T) {
	t.Helper()
	for g := range l.Gateways {
		for {
			if resp, _ := chat(t, l, g, "liceo", v1.Model); resp.StatusCode == http.StatusOK {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// openChat sends a request for a streamed chat completion of the given number
// of tokens. The caller closes the response body.
func openChat(ctx context.Context, l *Lab, gateway, tokens int, header map[string]string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hola"}]}`, v1.Model, tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Gateways[gateway].CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey("liceo"))
	for name, v := range header {
		req.Header.Set(name, v)
	}
	return http.DefaultClient.Do(req)
}

// readStream concatenates a stream's tokens; done reports whether it ended with
// [DONE].
func readStream(body io.Reader) (text string, done bool, err error) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true, nil
		}
		var e struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return text, false, err
		}
		for _, c := range e.Choices {
			text += c.Delta.Content
		}
	}
	return text, false, lines.Err()
}

// TestCutStreamResumes checks that a caller gets each token once when the
// connection between gateway and sidecar, or between sidecar and engine, is cut
// in the middle of a stream.
func TestCutStreamResumes(t *testing.T) {
	t.Parallel()
	const tokens = 60
	l, ctx := startServing(t, Config{Gateways: 1, Engines: 1, TokenTime: 2 * time.Millisecond})
	b := l.Boxes[0]
	proxy := newFaultyProxy(t, b.Sidecar.Address())
	entry := b.Entry
	entry.Address = proxy.address()
	l.BoxList.Put(entry)
	proxy.awaitConnection(t)    // the gateway has read the box list
	time.Sleep(3 * time.Second) // and has probed the new address
	for _, where := range []string{"sidecar", "engine"} {
		t.Run(where, func(t *testing.T) {
			if where == "sidecar" {
				proxy.cutAfter(4000)
			} else {
				b.Engine.Faults.Set(standin.FaultSettings{CutAfterTokens: 20})
			}
			resp, err := openChat(ctx, l, 0, tokens, nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			text, done, err := readStream(resp.Body)
			assert.NilError(t, err)
			assert.Assert(t, done, "the stream ended without [DONE]: %s", text)
			assert.DeepEqual(t, invariant.CheckAnswer(text, v1.String(), resp.Header.Get("Mintlift-Request-Id"), tokens), []invariant.Violation(nil))
		})
	}
	assert.Assert(t, proxy.cutCount() > 0, "the proxy cut no connection")
}

// TestCancelReachesEngine checks that the engine stops generating when the
// caller closes the connection in the middle of a stream.
func TestCancelReachesEngine(t *testing.T) {
	t.Parallel()
	l, ctx := startServing(t, Config{Gateways: 1, Engines: 1, TokenTime: 5 * time.Millisecond})
	callCtx, cancel := context.WithCancel(ctx)
	resp, err := openChat(callCtx, l, 0, 1000000, nil)
	assert.NilError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, 500))
	assert.NilError(t, err)
	cancel()
	_ = resp.Body.Close()
	for {
		s, err := http.Get("http://" + l.Boxes[0].endpoint.Address() + "/control/state")
		assert.NilError(t, err)
		raw, err := io.ReadAll(s.Body)
		assert.NilError(t, err)
		assert.NilError(t, s.Body.Close())
		if bytes.Contains(raw, []byte(`"running":0`)) {
			return
		}
		assert.NilError(t, ctx.Err(), "the engine still generates")
		time.Sleep(20 * time.Millisecond)
	}
}

// TestMismatchedResponseIsRejected checks that an engine's response with the ID
// of another request is not forwarded, and that the caller gets outcome unknown.
func TestMismatchedResponseIsRejected(t *testing.T) {
	t.Parallel()
	l, ctx := startServing(t, Config{Gateways: 1, Engines: 1})
	l.Boxes[0].Engine.Faults.Set(standin.FaultSettings{MismatchedResponses: true})
	resp, err := openChat(ctx, l, 0, 3, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("Mintlift-Outcome"), "unknown", string(b))
	assert.Assert(t, !bytes.Contains(b, []byte("celeste-draft@v1/")), string(b))
}

// TestMismatchedEventIsRejected checks that a stream's event with the ID of
// another request is not forwarded, and that the stream ends with outcome
// unknown.
func TestMismatchedEventIsRejected(t *testing.T) {
	t.Parallel()
	l, ctx := startServing(t, Config{Gateways: 1, Engines: 1})
	l.Boxes[0].Engine.Faults.Set(standin.FaultSettings{MismatchedEvents: true})
	resp, err := openChat(ctx, l, 0, 3, nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(b, []byte("somebody-else")), string(b))
	assert.Assert(t, bytes.Contains(b, []byte(`"outcome":"unknown"`)), string(b))
}

// TestPlannedStopCutsNothing checks that streams in flight are completed when a
// sidecar and a gateway are stopped, and that the stopping sidecar's endpoint
// gets no new requests.
func TestPlannedStopCutsNothing(t *testing.T) {
	const tokens, streams = 200, 8
	l, ctx := startServing(t, Config{Gateways: 2, Engines: 2, TokenTime: 5 * time.Millisecond})
	type result struct {
		text, id string
		done     bool
		err      error
	}
	results := make(chan result, streams)
	for i := range streams {
		go func() {
			resp, err := openChat(ctx, l, i%2, tokens, nil)
			if err != nil {
				results <- result{err: err}
				return
			}
			defer resp.Body.Close()
			text, done, err := readStream(resp.Body)
			results <- result{text: text, id: resp.Header.Get("Mintlift-Request-Id"), done: done, err: err}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	stopped := make(chan error, 2)
	go func() { stopped <- l.Boxes[0].Sidecar.Stop(ctx) }()
	go func() { stopped <- l.Gateways[1].Stop(ctx) }()
	time.Sleep(100 * time.Millisecond)
	ran := len(l.Boxes[0].Engine.Journal())
	for range 10 { // routed elsewhere, although the box list still has the box
		resp, text := chat(t, l, 0, "liceo", v1.Model)
		assert.Equal(t, resp.StatusCode, http.StatusOK, text)
	}
	assert.Equal(t, len(l.Boxes[0].Engine.Journal()), ran, "a stopping endpoint got a new request")
	for range streams {
		r := <-results
		assert.NilError(t, r.err)
		assert.Assert(t, r.done, "a planned stop cut a stream")
		assert.Equal(t, len(invariant.CheckAnswer(r.text, v1.String(), r.id, tokens)), 0)
	}
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-stopped)
	l.Boxes[0].Sidecar = nil
	l.Gateways = l.Gateways[:1]
}
