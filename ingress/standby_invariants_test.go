// SPDX-License-Identifier: Apache-2.0

package ingress

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/fleet"
	"github.com/mintlift/mintlift/routing"
)

// Whatever endpoints and callers do, each attempt must be ended once, requests must have no
// more attempts than their routes allow, repeats must be charged, no event may be lost or
// repeated, and nothing may run at an endpoint long after the request has ended.
// STANDBY_SEEDS is the number of seeds.
func TestStandbyInvariantsAtRandom(t *testing.T) {
	seeds := 60
	if n, err := strconv.Atoi(os.Getenv("STANDBY_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { standbyInvariants(t, uint64(seed)) })
		})
	}
}

func standbyInvariants(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	var mu sync.Mutex // guards random, running, arrivals, lastRun
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	g := newVirtualGateway(t, fleet.Place{Zone: "z"})
	g.server.settings.Budget.Slack, g.server.settings.Budget.Ratio = 4000, 0
	g.server.settings.Budget.Window = 1e6 * time.Hour
	attempts := 2 + random.IntN(3)
	long := route(routing.Safe, "/long/", "plain", attempts)
	long.Timeout = 4 * time.Second
	unsafe := route(routing.Unsafe, "/single/", "plain", 3)
	unsafe.Timeout = 4 * time.Second
	once := resumableRoute("/once/", 3)
	once.Resumable = false
	g.configure(1, resumableRoute("/resumable/", attempts), long, unsafe, once)
	running, arrivals, ran := map[string]int{}, map[string]int{}, map[string]int{}
	cut := seed%2 == 1 // links fall silent
	type run struct {
		started time.Time
		over    bool
	}
	runs := map[string][]*run{}
	// delivered checks that a request's other runs end soon after this one has delivered.
	delivered := func(id string, this *run) {
		at := time.Now()
		time.AfterFunc(maxStopDelay, func() {
			mu.Lock()
			defer mu.Unlock()
			for _, other := range runs[id] {
				assert.Check(t, cut || this.over || other == this || other.over || other.started.After(at), "seed %d, %s: two runs after one has delivered", seed, id)
			}
		})
	}
	handle := func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(testHeaders.RequestID)
		this := &run{started: time.Now()}
		mu.Lock()
		runs[id] = append(runs[id], this)
		running[id]++
		arrivals[id]++
		mu.Unlock()
		defer func() {
			mu.Lock()
			running[id]--
			this.over = true
			mu.Unlock()
		}()
		what := draw(12)
		if what == 0 {
			respondNotRun(w, r)
			return
		}
		mu.Lock()
		ran[id]++
		mu.Unlock()
		switch what {
		case 1:
			if sleep(r, time.Duration(draw(2000))*time.Millisecond) {
				panic(http.ErrAbortHandler)
			}
			return
		case 2:
			sleep(r, time.Duration(draw(1500))*time.Millisecond)
			respondStatus(http.StatusInternalServerError)(w, r)
			return
		case 3:
			<-r.Context().Done()
			return
		}
		if !strings.HasPrefix(r.RequestURI, "/resumable/") && !strings.HasPrefix(r.RequestURI, "/once/") {
			if sleep(r, time.Duration(draw(3500))*time.Millisecond) {
				respondOK("x")(w, r)
			}
			return
		}
		var from int
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		silentAt, silence := from+draw(lastEvent-from+1), time.Duration(draw(3000))*time.Millisecond
		for ; from < lastEvent; from++ {
			if from == silentAt && !sleep(r, silence) {
				return
			}
			if draw(40) == 0 {
				panic(http.ErrAbortHandler)
			}
			r.Header.Set("Last-Event-Id", fmt.Sprint(from))
			respondEvents(from+1, from+1)(w, r)
			delivered(id, this)
			if !sleep(r, time.Duration(draw(60))*time.Millisecond) {
				return
			}
		}
	}
	engines := 1 + random.IntN(3)
	var records []fleet.Record
	for n := range engines {
		g.startEndpoint(fmt.Sprint("e", n), "engine", handle)
		g.startEndpoint(fmt.Sprint("p", n), "plain", handle)
		records = append(records, g.records[fmt.Sprint("e", n)], g.records[fmt.Sprint("p", n)])
	}
	ctx, cancel := context.WithCancel(t.Context())
	var changes sync.WaitGroup
	changes.Go(func() { // new versions, whose deadlines are 2 s later
		for version := 2; seed%3 == 0; version++ {
			for range 2 {
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Duration(500+draw(1000)) * time.Millisecond):
				}
				g.server.SetTargetVersion(testModel, version, false, time.Now().Add(2*time.Second-g.server.settings.VersionDeadline))
			}
			mu.Lock()
			for n := range records {
				if records[n].Service == "engine" {
					records[n].Models = map[string]int{testModel: version}
				}
			}
			listed := append([]fleet.Record(nil), records...)
			mu.Unlock()
			for _, r := range listed {
				g.server.PutEndpoint(r)
			}
		}
	})
	changes.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Duration(draw(400)) * time.Millisecond):
			}
			n := draw(len(records))
			mu.Lock()
			r := records[n]
			mu.Unlock()
			gateway, box := g.boxes["gateway"], g.boxes[r.Address]
			switch draw(4) {
			case 0:
				g.server.RemoveEndpoint(r.ID)
			case 1:
				if cut {
					g.network.Silence(gateway, box)
					g.network.Silence(box, gateway)
					time.Sleep(time.Duration(draw(1500)) * time.Millisecond)
					g.network.Restore(gateway, box)
					g.network.Restore(box, gateway)
				}
			default:
				g.server.PutEndpoint(r)
			}
		}
	})
	tokens := g.server.budget
	g.server.mu.Lock()
	startTokens := map[string]int{}
	for _, service := range []string{"engine", "plain"} {
		b := tokens(service, time.Now())
		copied := *b
		for copied.Take(time.Now()) {
			startTokens[service]++
		}
	}
	g.server.mu.Unlock()
	var callers sync.WaitGroup
	for n := range 40 {
		callers.Go(func() {
			time.Sleep(time.Duration(draw(3000)) * time.Millisecond)
			prefix := []string{"/long/", "/resumable/", "/resumable/", "/single/", "/once/"}[draw(5)]
			path := fmt.Sprint(prefix, n)
			c, left := t.Context(), false
			if draw(4) == 0 {
				var stop context.CancelFunc
				c, stop = context.WithTimeout(c, time.Duration(1+draw(3000))*time.Millisecond)
				defer stop()
				left = true
			}
			response, err := g.send(c, "POST", path, "", withHeader(testHeaders.Deadline, "8000"))
			if err == nil {
				var body []byte
				body, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				stream := strings.HasPrefix(path, "/resumable/") || strings.HasPrefix(path, "/once/")
				if response.StatusCode == http.StatusOK && stream {
					assert.Check(t, strings.HasPrefix(eventsText(lastEvent), strings.TrimSuffix(string(body), "id: 99\nda")), "seed %d, %s: %q", seed, path, body)
					assert.Check(t, err != nil || string(body) == eventsText(lastEvent), "seed %d, %s: looks complete: %q", seed, path, body)
				}
				if (prefix == "/single/" || prefix == "/once/") && (response.StatusCode == 503 || response.StatusCode == 429) {
					mu.Lock()
					assert.Check(t, ran["id-"+path] == 0, "seed %d, %s: %d, but has run", seed, path, response.StatusCode)
					mu.Unlock()
				}
			}
			_ = left
			if !cut {
				time.Sleep(maxStopDelay)
				mu.Lock()
				assert.Check(t, running["id-"+path] == 0, "seed %d, %s: still runs", seed, path)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	cancel()
	changes.Wait()
	for _, r := range records {
		g.network.Restore(g.boxes["gateway"], g.boxes[r.Address])
		g.network.Restore(g.boxes[r.Address], g.boxes["gateway"])
		g.server.PutEndpoint(r)
	}
	time.Sleep(20 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	repeats := 0
	for id, n := range arrivals {
		limit := attempts
		repeats += n - 1
		if strings.HasPrefix(id, "id-/single/") || strings.HasPrefix(id, "id-/once/") {
			limit = 3
			assert.Check(t, ran[id] <= 1, "seed %d, %s: has run %d times", seed, id, ran[id])
		}
		assert.Check(t, n <= limit, "seed %d, %s: %d attempts of %d", seed, id, n, limit)
	}
	g.server.mu.Lock()
	defer g.server.mu.Unlock()
	assert.Check(t, len(g.server.unbegun) == 0, "seed %d: %d unbegun", seed, len(g.server.unbegun))
	for _, service := range []string{"engine", "plain"} {
		for _, e := range g.server.fleet.Endpoints(service) {
			assert.Check(t, e.InFlight() == 0, "seed %d: %s has %d in flight", seed, e.ID, e.InFlight())
		}
		assert.Check(t, len(g.server.queues[service].waiters) == 0)
	}
	left := 0
	for _, service := range []string{"engine", "plain"} {
		b := tokens(service, time.Now())
		for b.Take(time.Now()) {
			left++
		}
	}
	spent := startTokens["engine"] + startTokens["plain"] - left
	assert.Check(t, repeats <= spent, "seed %d: %d repeats, %d tokens", seed, repeats, spent)
	t.Logf("arrivals %d, repeats %d, tokens spent %d", len(arrivals), repeats, spent)
}
