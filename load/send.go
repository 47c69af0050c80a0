// SPDX-License-Identifier: Apache-2.0

package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mintlift/mintlift/outcome"
	"github.com/mintlift/mintlift/peer"
)

// requestSpec describes a request to send. key is the workspace's key. The header
// Idempotency-Key is left out if idempotencyKey is empty.
type requestSpec struct {
	path, key, idempotencyKey string
	body                      []byte
	stream                    bool
}

// newRequest returns a random request of the class.
func (c *Class) newRequest(rng *rand.Rand) requestSpec {
	spec := requestSpec{key: c.key}
	if rng.Float64() < c.NotRepeatable {
		spec.idempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	if c.Service != "" {
		spec.path = "/v1/services/" + c.Service + "/load"
		spec.body = []byte(`{"page":1}`)
		return spec
	}
	spec.path, spec.stream = "/v1/chat/completions", true
	prompt := fmt.Sprintf("prompt %d", rng.IntN(max(c.Prefixes, 1)))
	spec.body = fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.Model, max(c.Tokens, 1), prompt)
	return spec
}

// SendKey sends one request of the class with the given idempotency key and
// returns its outcome.
func (c *Class) SendKey(ctx context.Context, target, key string) outcome.Outcome {
	spec := c.newRequest(rand.New(rand.NewPCG(1, 1)))
	spec.idempotencyKey = key
	return newSender().send(ctx, target, spec).outcome
}

// response is the result of a request.
type response struct {
	requestID, version string
	outcome            outcome.Outcome
	firstEvent, end    time.Time       // firstEvent is zero if there was no event
	gaps               []time.Duration // between consecutive events
	invalid            bool            // truncated, or with an event of another request or version
}

// sender sends requests over pooled connections.
type sender struct{ client *http.Client }

// newSender returns a sender that keeps up to 4096 idle connections per host.
func newSender() *sender {
	const perHost = 4096
	return &sender{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: perHost, DisableCompression: true}}}
}

// send sends one request to the address target and reads its whole response. It does
// not retry. A failed request has outcome unknown unless a complete response states
// another.
func (s *sender) send(ctx context.Context, target string, spec requestSpec) (result response) {
	defer func() { result.end = time.Now() }()
	result.outcome = outcome.Unknown
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+spec.path, bytes.NewReader(spec.body))
	if err != nil {
		return result
	}
	req.GetBody = nil // no retries by the transport
	req.Header.Set("Authorization", "Bearer "+spec.key)
	req.Header.Set("Content-Type", "application/json")
	if spec.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", spec.idempotencyKey)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return result
	}
	defer resp.Body.Close()
	result.requestID, result.version = resp.Header.Get(peer.HeaderRequest), resp.Header.Get(peer.HeaderVersion)
	if v := resp.Header.Get(peer.HeaderOutcome); v != "" {
		result.outcome = outcome.Outcome(v)
	}
	if spec.stream && resp.StatusCode == http.StatusOK && resp.Header.Get(peer.HeaderReason) == "" {
		result.readStream(resp.Body)
		return result
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		result.outcome, result.invalid = outcome.Unknown, true
	}
	return result
}

// streamEvent holds the fields of a stream's event that are validated.
type streamEvent struct {
	ID    string             `json:"id"`
	Model string             `json:"model"`
	Error *peer.RefusalError `json:"error"`
}

// readStream reads a stream to its end and sets the outcome and the event times.
// The stream is invalid if an event has another request id or version than the
// response.
func (r *response) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	last := time.Time{}
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.outcome = outcome.Completed
			return
		}
		now := time.Now()
		var e streamEvent
		if json.Unmarshal([]byte(data), &e) != nil {
			break
		}
		if e.Error != nil {
			r.outcome = e.Error.Outcome
			return
		}
		if e.ID != r.requestID || r.version != "" && e.Model != r.version {
			break
		}
		if r.firstEvent.IsZero() {
			r.firstEvent = now
		} else {
			r.gaps = append(r.gaps, now.Sub(last))
		}
		last = now
	}
	r.outcome, r.invalid = outcome.Unknown, true
}
