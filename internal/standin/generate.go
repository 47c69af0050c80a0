// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/mintlift/mintlift/engine"
	"github.com/mintlift/mintlift/weights"
)

// mismatchedID is the request ID in the responses and events that the faults
// MismatchedResponses and MismatchedEvents send.
const mismatchedID = "foreign-request"

// defaultTokens is the length of a response in tokens if the request does not
// set max_tokens.
const defaultTokens = 16

// Token returns the text of a response's i-th token. It names the version and
// the request, so that mixed or mismatched responses can be detected.
func Token(version, request string, i int) string {
	return fmt.Sprintf("%s/%s/%d ", version, request, i)
}

// generateRequest holds the fields of a completion request that the engine
// uses.
type generateRequest struct {
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

// generate serves a chat or text completion with the version named in the header.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var body generateRequest
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ref, err := weights.ParseRef(r.Header.Get(engine.HeaderVersion))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	total := body.MaxTokens
	if total <= 0 {
		total = defaultTokens
	}
	if !e.Faults.writeBackpressure(w) {
		return
	}
	g, ok := e.startGeneration(r, ref, total)
	if !ok {
		http.Error(w, "version is not loaded", http.StatusNotFound)
		return
	}
	e.respond(w, r, g, 0, body.Stream)
}

// startGeneration adds a request to the journal and starts to generate its
// response. It returns false if the version is not loaded.
func (e *Engine) startGeneration(r *http.Request, ref weights.Ref, total int) (*generation, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.IndexFunc(e.loaded, func(l loadedVersion) bool { return l.Ref == ref })
	if at < 0 {
		return nil, false
	}
	id := r.Header.Get(engine.HeaderRequest)
	g := &generation{id: id, version: ref, whole: e.loaded[at].whole, total: total, changed: make(chan struct{}), cancel: make(chan struct{})}
	e.generations[id] = g
	e.journal = append(e.journal, Run{Request: id, Version: ref.String(), Workspace: r.Header.Get(engine.HeaderWorkspace), Key: r.Header.Get(engine.HeaderKey), Whole: g.whole})
	entry := len(e.journal) - 1
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority)) // 0, the lowest, if missing
	go func() {
		if e.acquireSlot(g, priority) {
			e.generateTokens(g)
			e.releaseSlot()
		}
		e.endGeneration(g, entry)
	}()
	return g, true
}

// acquireSlot waits for a slot. Waiters get slots by priority, then in order
// of arrival. It returns false if the generation was cancelled meanwhile.
func (e *Engine) acquireSlot(g *generation, priority int) bool {
	e.mu.Lock()
	if e.active < e.Slots {
		e.active++
		e.mu.Unlock()
		return true
	}
	self := &waiter{priority: priority, ready: make(chan struct{})}
	at := slices.IndexFunc(e.waiting, func(o *waiter) bool { return o.priority < priority })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, self)
	e.mu.Unlock()
	select {
	case <-self.ready:
		return true
	case <-g.cancel:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, self); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
		return false
	}
	e.active-- // the slot was granted concurrently with the cancellation
	return false
}

// releaseSlot passes a slot to the first waiter, or frees the slot if no request
// is waiting.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.active--
		return
	}
	close(e.waiting[0].ready)
	e.waiting = e.waiting[1:]
}

// holdInterval is the interval at which a paused generation checks whether the fault
// HoldAfterTokens has ended.
const holdInterval = 5 * time.Millisecond

// generateTokens adds tokens until the response is complete or cancelled.
func (e *Engine) generateTokens(g *generation) {
	pause := e.FirstTokenTime
	for i := range g.total {
		for held := true; held; pause = holdInterval {
			select {
			case <-time.After(pause):
			case <-g.cancel:
				return
			}
			hold := e.Faults.Get().HoldAfterTokens
			held = hold > 0 && i >= hold
		}
		version := g.version.String()
		if !g.whole {
			version = "broken-weights"
		}
		g.addToken(Token(version, g.id, i))
		pause = e.TokenTime
	}
}

// addToken appends a token and wakes the readers that wait for it.
func (g *generation) addToken(token string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	close(g.changed)
	g.changed = make(chan struct{})
}

// endGeneration marks the generation as done, updates its journal entry, and
// removes it when it can no longer be resumed.
func (e *Engine) endGeneration(g *generation, entry int) {
	g.mu.Lock()
	g.done = true
	complete := len(g.tokens) == g.total
	close(g.changed)
	g.changed = make(chan struct{})
	g.mu.Unlock()
	e.mu.Lock()
	e.journal[entry].Done = complete
	e.mu.Unlock()
	time.AfterFunc(resumeTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generations[g.id] == g {
			delete(e.generations, g.id)
		}
	})
}

// stop cancels the generation; it may be called more than once.
func (g *generation) stop() { g.cancelOnce.Do(func() { close(g.cancel) }) }

// token waits for token i and returns it. It returns false if the generation
// ends before token i, or if disconnected is closed.
func (g *generation) token(i int, disconnected <-chan struct{}) (token string, ok bool) {
	for {
		g.mu.Lock()
		changed, done := g.changed, g.done
		if i < len(g.tokens) {
			token = g.tokens[i]
			g.mu.Unlock()
			return token, true
		}
		g.mu.Unlock()
		if done {
			return "", false
		}
		select {
		case <-changed:
		case <-disconnected:
			return "", false
		}
	}
}

// resume streams a generation again, from the token after the ones that the client has.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	e.mu.Unlock()
	if g == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after")) // a missing value starts at 0
	e.respond(w, r, g, after, true)
}

// cancelRun stops a generation. An unknown ID is ignored.
func (e *Engine) cancelRun(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.generations[r.PathValue("id")]
	e.mu.Unlock()
	if g != nil {
		g.stop()
	}
}

// respond writes a generation as a stream that starts with token from, or, if
// stream is false, as one JSON body. After its last reader disconnects, a
// generation is cancelled unless it is resumed within resumeTimeout.
func (e *Engine) respond(w http.ResponseWriter, r *http.Request, g *generation, from int, stream bool) {
	g.addReaders(1)
	defer func() {
		if g.addReaders(-1) == 0 {
			time.AfterFunc(resumeTimeout, func() {
				if g.addReaders(0) == 0 {
					g.stop()
				}
			})
		}
	}()
	w.Header().Set(engine.HeaderRequest, g.id)
	if e.Faults.Get().MismatchedResponses {
		w.Header().Set(engine.HeaderRequest, mismatchedID)
	}
	w.Header().Set(engine.HeaderVersion, g.version.String())
	if stream {
		e.stream(w, r, g, from)
		return
	}
	text := ""
	for i := 0; ; i++ {
		token, ok := g.token(i, r.Context().Done())
		if !ok {
			break
		}
		text += token
	}
	if !g.complete() {
		abortConnection()
	}
	writeJSON(w, http.StatusOK, newCompletion(g, text))
}

// addReaders adds n to the number of readers and returns the result.
func (g *generation) addReaders(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers += n
	return g.readers
}

// complete reports whether all tokens have been generated.
func (g *generation) complete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens) == g.total
}

// stream writes the tokens of a generation as server-sent events, starting with
// token from. It cuts the connection if the generation is cancelled.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	cutAfter := e.Faults.takeStreamCut()
	for i := from; ; i++ {
		token, ok := g.token(i, r.Context().Done())
		if !ok {
			break
		}
		id := g.id
		if e.Faults.Get().MismatchedEvents && i == 1 {
			id, token = mismatchedID, "somebody-else"
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, completionChunkJSON(id, g, token))
		_ = rc.Flush() // fails only if the client has disconnected
		if cutAfter > 0 && i+1 == cutAfter {
			abortConnection()
		}
	}
	if !g.complete() {
		abortConnection()
	}
	fmt.Fprintf(w, "data: [DONE]\n\n")
}

// choice is one choice of a completion. Delta is set in a streamed completion,
// Message otherwise.
type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// message is the text of a completion, or the part of it in one chunk of a stream.
type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completionResponse is a completion or one chunk of a streamed completion.
type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// completionChunkJSON returns the JSON of a streamed chunk with one token.
func completionChunkJSON(id string, g *generation, token string) []byte {
	b, _ := json.Marshal(completionResponse{ID: id, Object: "chat.completion.chunk", Model: g.version.String(), Choices: []choice{{Delta: &message{Content: token}}}}) // plain fields always marshal
	return b
}

// newCompletion returns the complete, unstreamed response of a generation.
func newCompletion(g *generation, text string) completionResponse {
	stop := "stop"
	return completionResponse{ID: g.id, Object: "chat.completion", Model: g.version.String(), Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &stop}}}
}
