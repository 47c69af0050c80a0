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

// foreignID is the request that ForeignAnswers and ForeignEvents claim.
const foreignID = "foreign-request"

// defaultTokens is the length of an answer when the caller does not say.
const defaultTokens = 16

// Token is the text of an answer's i-th token: it names the version and the
// request, so that a mixed or foreign answer shows.
func Token(version, request string, i int) string {
	return fmt.Sprintf("%s/%s/%d ", version, request, i)
}

type generateRequest struct {
	Stream    bool `json:"stream"`
	MaxTokens int  `json:"max_tokens"`
}

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
	if !e.Faults.speak(w) {
		return
	}
	g, ok := e.begin(r, ref, total)
	if !ok {
		http.Error(w, "version is not loaded", http.StatusNotFound)
		return
	}
	e.attach(w, r, g, 0, body.Stream)
}

// begin notes a run in the journal and starts it.
func (e *Engine) begin(r *http.Request, ref weights.Ref, total int) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := slices.IndexFunc(e.loaded, func(l loaded) bool { return l.Ref == ref })
	if at < 0 {
		return nil, false
	}
	id := r.Header.Get(engine.HeaderRequest)
	g := &run{id: id, version: ref, whole: e.loaded[at].whole, total: total, changed: make(chan struct{}), cancel: make(chan struct{})}
	e.runs[id] = g
	e.journal = append(e.journal, Run{Request: id, Version: ref.String(), Workspace: r.Header.Get(engine.HeaderWorkspace), Key: r.Header.Get(engine.HeaderKey), Whole: g.whole})
	entry := len(e.journal) - 1
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority)) // missing counts as lowest
	go func() {
		if e.enter(g, priority) {
			e.produce(g)
			e.leave()
		}
		e.finish(g, entry)
	}()
	return g, true
}

// enter waits for a slot, the highest priority first.
func (e *Engine) enter(g *run, priority int) bool {
	e.mu.Lock()
	if e.active < e.Slots {
		e.active++
		e.mu.Unlock()
		return true
	}
	me := &waiter{priority: priority, ready: make(chan struct{})}
	at := slices.IndexFunc(e.waiting, func(o *waiter) bool { return o.priority < priority })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, me)
	e.mu.Unlock()
	select {
	case <-me.ready:
		return true
	case <-g.cancel:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if at := slices.Index(e.waiting, me); at >= 0 {
		e.waiting = slices.Delete(e.waiting, at, at+1)
		return false
	}
	e.active-- // the slot had been handed over already
	return false
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.active--
		return
	}
	close(e.waiting[0].ready)
	e.waiting = e.waiting[1:]
}

func (e *Engine) produce(g *run) {
	pause := e.FirstTokenTime
	for i := range g.total {
		select {
		case <-time.After(pause):
		case <-g.cancel:
			return
		}
		version := g.version.String()
		if !g.whole {
			version = "broken-weights"
		}
		g.add(Token(version, g.id, i))
		pause = e.TokenTime
	}
}

func (g *run) add(token string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tokens = append(g.tokens, token)
	close(g.changed)
	g.changed = make(chan struct{})
}

func (e *Engine) finish(g *run, entry int) {
	g.mu.Lock()
	g.done = true
	whole := len(g.tokens) == g.total
	close(g.changed)
	g.changed = make(chan struct{})
	g.mu.Unlock()
	e.mu.Lock()
	e.journal[entry].Done = whole
	e.mu.Unlock()
	time.AfterFunc(resumeGrace, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.runs[g.id] == g {
			delete(e.runs, g.id)
		}
	})
}

func (g *run) stop() { g.once.Do(func() { close(g.cancel) }) }

// next waits for token i; ok is false when the run has ended without it.
func (g *run) next(i int, gone <-chan struct{}) (token string, ok bool) {
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
		case <-gone:
			return "", false
		}
	}
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if g == nil {
		http.Error(w, "no such run", http.StatusNotFound)
		return
	}
	after, _ := strconv.Atoi(r.URL.Query().Get("after")) // a missing value starts at 0
	e.attach(w, r, g, after, true)
}

func (e *Engine) cancelRun(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g := e.runs[r.PathValue("id")]
	e.mu.Unlock()
	if g != nil {
		g.stop()
	}
}

// attach sends a run's tokens from the given one on to a reader. A run that
// loses its last reader goes on for resumeGrace and is then cancelled.
func (e *Engine) attach(w http.ResponseWriter, r *http.Request, g *run, from int, stream bool) {
	g.attached(1)
	defer func() {
		if g.attached(-1) == 0 {
			time.AfterFunc(resumeGrace, func() {
				if g.attached(0) == 0 {
					g.stop()
				}
			})
		}
	}()
	w.Header().Set(engine.HeaderRequest, g.id)
	if e.Faults.Get().ForeignAnswers {
		w.Header().Set(engine.HeaderRequest, foreignID)
	}
	w.Header().Set(engine.HeaderVersion, g.version.String())
	if stream {
		e.stream(w, r, g, from)
		return
	}
	text := ""
	for i := 0; ; i++ {
		token, ok := g.next(i, r.Context().Done())
		if !ok {
			break
		}
		text += token
	}
	if !g.complete() {
		cut()
	}
	answerJSON(w, http.StatusOK, completion(g, text))
}

func (g *run) attached(d int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readers += d
	return g.readers
}

func (g *run) complete() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.tokens) == g.total
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, g *run, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	die := e.Faults.dieAt()
	for i := from; ; i++ {
		token, ok := g.next(i, r.Context().Done())
		if !ok {
			break
		}
		shown := g.id
		if e.Faults.Get().ForeignEvents && i == 1 {
			shown, token = foreignID, "somebody-else"
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, chunkJSON(shown, g, token))
		_ = rc.Flush() // the client has gone if this fails
		if die > 0 && i+1 == die {
			cut()
		}
	}
	if !g.complete() {
		cut()
	}
	fmt.Fprintf(w, "data: [DONE]\n\n")
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

func chunkJSON(id string, g *run, token string) []byte {
	b, _ := json.Marshal(answer{ID: id, Object: "chat.completion.chunk", Model: g.version.String(), Choices: []choice{{Delta: &message{Content: token}}}}) // plain fields always marshal
	return b
}

func completion(g *run, text string) answer {
	stop := "stop"
	return answer{ID: g.id, Object: "chat.completion", Model: g.version.String(), Choices: []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &stop}}}
}
