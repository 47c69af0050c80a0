// SPDX-License-Identifier: Apache-2.0

package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/mintlift/mintlift/internal/invariant"
	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
)

// tokenCount is the length of the responses in tokens.
const tokenCount = 8

// response is the response to one request.
type response struct {
	request    string // ID
	version    string
	outcome    outcome.Outcome
	status     int
	text       string
	firstToken time.Duration // from the request to the first token; 0 without a token
}

// streamEvent holds the fields of a stream's event that the demo reads.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *peer.RefusalError `json:"error"`
}

// chat sends a request for a streamed chat completion and reads the stream to
// its end. The request is non-idempotent if idempotencyKey is set.
func chat(ctx context.Context, address, key, model, idempotencyKey string) (response, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hola"}]}`, model, tokenCount)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	began := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	r := response{
		request: resp.Header.Get(peer.HeaderRequest),
		version: resp.Header.Get(peer.HeaderVersion),
		outcome: outcome.Outcome(resp.Header.Get(peer.HeaderOutcome)),
		status:  resp.StatusCode,
	}
	if resp.StatusCode != http.StatusOK {
		b, err := io.ReadAll(resp.Body)
		r.text = string(b)
		return r, err
	}
	return r, r.readStream(resp.Body, began)
}

// readStream reads a stream to its end and sets text, outcome and firstToken.
func (r *response) readStream(body io.Reader, began time.Time) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			r.outcome = outcome.Completed
			return nil
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if e.Error != nil {
			r.outcome = e.Error.Outcome
			return nil
		}
		if r.firstToken == 0 {
			r.firstToken = time.Since(began)
		}
		for _, c := range e.Choices {
			r.text += c.Delta.Content
		}
	}
	return io.ErrUnexpectedEOF
}

// traffic runs callers, each of which sends one request after another, and
// collects their results.
type traffic struct {
	mu         sync.Mutex
	sent       int
	failed     []string
	versions   map[string]int // completed requests by version
	violations []invariant.Violation
	stop       context.CancelFunc
	callers    sync.WaitGroup
}

// startTraffic starts callers that send requests to the given addresses in turn
// until stopAndWait is called.
func startTraffic(addresses []string, key, model string, callers int) *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{versions: make(map[string]int), stop: cancel}
	for i := range callers {
		t.callers.Add(1)
		go func() {
			defer t.callers.Done()
			for n := i; ctx.Err() == nil; n++ {
				r, err := chat(context.WithoutCancel(ctx), addresses[n%len(addresses)], key, model, "")
				t.record(r, err)
			}
		}()
	}
	return t
}

// record counts a response and checks its text.
func (t *traffic) record(r response, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if err != nil || r.outcome != outcome.Completed {
		t.failed = append(t.failed, fmt.Sprintf("request %s: status %d, outcome %s, %v, %.120s", r.request, r.status, r.outcome, err, r.text))
		return
	}
	t.versions[r.version]++
	t.violations = append(t.violations, invariant.CheckAnswer(r.text, r.version, r.request, tokenCount)...)
}

// stopAndWait stops the callers and waits until their requests in flight have
// ended.
func (t *traffic) stopAndWait() {
	t.stop()
	t.callers.Wait()
}

// callService sends a request to a plain service.
func callService(ctx context.Context, address, key, service, body string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/services/"+service+"/pages", strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{
		request: resp.Header.Get(peer.HeaderRequest),
		outcome: outcome.Outcome(resp.Header.Get(peer.HeaderOutcome)),
		status:  resp.StatusCode,
		text:    strings.TrimSpace(string(b)),
	}, err
}
