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

// requestSpec is one request to send.
type requestSpec struct {
	path, key, idempotencyKey string
	body                      []byte
	stream                    bool
}

// requestSpec draws a request of the class.
func (c *Class) newRequest(rng *rand.Rand) requestSpec {
	o := requestSpec{key: c.key}
	if rng.Float64() < c.NotRepeatable {
		o.idempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	if c.Service != "" {
		o.path = "/v1/services/" + c.Service + "/load"
		o.body = []byte(`{"page":1}`)
		return o
	}
	o.path, o.stream = "/v1/chat/completions", true
	prompt := fmt.Sprintf("prompt %d", rng.IntN(max(c.Prefixes, 1)))
	o.body = fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, c.Model, max(c.Tokens, 1), prompt)
	return o
}

// SendKey sends one request of the class under the given key.
func (c *Class) SendKey(ctx context.Context, target, key string) outcome.Outcome {
	o := c.newRequest(rand.New(rand.NewPCG(1, 1)))
	o.idempotencyKey = key
	return newSender().send(ctx, target, o).outcome
}

// response is what came back.
type response struct {
	requestID, version string
	outcome            outcome.Outcome
	firstEvent, end    time.Time
	gaps               []time.Duration
	invalid            bool
}

// sender sends requests over a pool of connections.
type sender struct{ client *http.Client }

func newSender() *sender {
	const perHost = 4096
	return &sender{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: perHost, DisableCompression: true}}}
}

func (s *sender) send(ctx context.Context, target string, o requestSpec) (a response) {
	defer func() { a.end = time.Now() }()
	a.outcome = outcome.Unknown
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target+o.path, bytes.NewReader(o.body))
	if err != nil {
		return a
	}
	req.GetBody = nil // the tool sends each request once
	req.Header.Set("Authorization", "Bearer "+o.key)
	req.Header.Set("Content-Type", "application/json")
	if o.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", o.idempotencyKey)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	a.requestID, a.version = resp.Header.Get(peer.HeaderRequest), resp.Header.Get(peer.HeaderVersion)
	if v := resp.Header.Get(peer.HeaderOutcome); v != "" {
		a.outcome = outcome.Outcome(v)
	}
	if o.stream && resp.StatusCode == http.StatusOK && resp.Header.Get(peer.HeaderReason) == "" {
		a.readStream(resp.Body)
		return a
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		a.outcome, a.invalid = outcome.Unknown, true
	}
	return a
}

// streamEvent is what a caller reads of an event.
type streamEvent struct {
	ID    string             `json:"id"`
	Model string             `json:"model"`
	Error *peer.RefusalError `json:"error"`
}

// readStream follows a stream to its end and checks whose it is.
func (a *response) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	last := time.Time{}
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.outcome = outcome.Completed
			return
		}
		now := time.Now()
		var e streamEvent
		if json.Unmarshal([]byte(data), &e) != nil {
			break
		}
		if e.Error != nil {
			a.outcome = e.Error.Outcome
			return
		}
		if e.ID != a.requestID || a.version != "" && e.Model != a.version {
			break
		}
		if a.firstEvent.IsZero() {
			a.firstEvent = now
		} else {
			a.gaps = append(a.gaps, now.Sub(last))
		}
		last = now
	}
	a.outcome, a.invalid = outcome.Unknown, true
}
