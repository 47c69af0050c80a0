// SPDX-License-Identifier: Apache-2.0

package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/state"
	"github.com/mintlift/mintlift/workspace"
)

// The size that the users expect within two years.
const (
	gateways = 10
	sidecars = 1020
	inForce  = 7 * time.Second
	hop      = 5 * time.Millisecond
)

var errDown = errors.New("down")

// fakeLog is the log service in virtual time.
type fakeLog struct {
	mu          sync.Mutex
	entries     []eventlog.Entry
	changed     chan struct{}
	down        bool
	reads       int
	checkpoints int
	perSecond   map[int64]int
}

func newFakeLog() *fakeLog {
	return &fakeLog{changed: make(chan struct{}), perSecond: make(map[int64]int)}
}

func (l *fakeLog) append(body any) {
	r, err := eventlog.NewRecord(state.KindWorkspaceSet, "test", time.Now(), body)
	if err != nil {
		panic(err)
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, eventlog.Entry{Offset: int64(len(l.entries)), Data: b})
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) set(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Read implements state.Source.
func (l *fakeLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (eventlog.Page, error) {
	time.Sleep(hop)
	l.mu.Lock()
	l.reads++
	l.perSecond[time.Now().Unix()]++
	if stream == eventlog.CheckpointStream {
		l.checkpoints++
		defer l.mu.Unlock()
		if l.down {
			return eventlog.Page{}, errDown
		}
		return eventlog.Page{}, nil
	}
	l.mu.Unlock()
	deadline := time.After(wait)
	for {
		l.mu.Lock()
		changed, down := l.changed, l.down
		p := eventlog.Page{Next: int64(len(l.entries))}
		if from < p.Next {
			p.Records = l.entries[from:]
		}
		l.mu.Unlock()
		if down {
			return eventlog.Page{}, errDown
		}
		if len(p.Records) > 0 {
			return p, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return p, nil
		case <-ctx.Done():
			return eventlog.Page{}, ctx.Err()
		}
	}
}

func (l *fakeLog) peak() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for _, n := range l.perSecond {
		most = max(most, n)
	}
	return most
}

// fakeGateway relays a replica as package gateway does.
type fakeGateway struct {
	replica *state.Replica
	mu      sync.Mutex
	frozen  bool
	reads   int
}

// Read implements state.Source.
func (g *fakeGateway) Read(ctx context.Context, _ string, from int64, wait time.Duration) (eventlog.Page, error) {
	time.Sleep(hop)
	g.mu.Lock()
	g.reads++
	frozen := g.frozen
	g.mu.Unlock()
	if frozen {
		<-ctx.Done()
		return eventlog.Page{}, ctx.Err()
	}
	deadline := time.After(wait)
	for {
		changed := g.replica.Changed()
		p := g.replica.Page(from, 500)
		if len(p.Records) > 0 || from != p.Next {
			return p, nil
		}
		select {
		case <-changed:
		case <-deadline:
			p.AgeMS = time.Since(g.replica.Contact()).Milliseconds()
			return p, nil
		case <-ctx.Done():
			return eventlog.Page{}, ctx.Err()
		}
	}
}

// choosing is state.Sources over a real Directory's choice.
type choosing struct {
	d    *Directory
	by   map[string]*fakeGateway
	log  *fakeLog
	last string
}

// Next implements state.Sources.
func (c *choosing) Next() state.Source {
	g, ok := c.d.gateway(time.Now())
	if !ok {
		c.last = ""
		return c.log
	}
	c.last = g.ID
	return c.by[g.ID]
}

// Failed implements state.Sources.
func (c *choosing) Failed(state.Source) {
	if c.last != "" {
		c.d.failed(c.last)
	}
}

// fleet is all processes of the size to come.
type fleet struct {
	log      *fakeLog
	relays   map[string]*fakeGateway
	replicas []*state.Replica
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func newFleet(log *fakeLog) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{log: log, relays: make(map[string]*fakeGateway), cancel: cancel}
	var boxes []membership.Box
	for i := range gateways {
		id := fmt.Sprintf("entry-%d", i)
		boxes = append(boxes, membership.Box{ID: id, Role: membership.Gateway})
		g := &fakeGateway{replica: state.NewReplica()}
		f.relays[id] = g
		f.follow(ctx, g.replica, state.Only{Source: log}, nil)
	}
	for i := range sidecars {
		c := &choosing{d: &Directory{Self: fmt.Sprintf("box-%d", i)}, by: f.relays, log: log}
		c.d.set(boxes, "")
		peers := func(context.Context) (state.Checkpoint, error) {
			time.Sleep(2 * hop)
			g, _ := c.d.gateway(time.Now())
			return f.relays[g.ID].replica.Checkpoint(), nil
		}
		f.follow(ctx, state.NewReplica(), c, peers)
	}
	return f
}

func (f *fleet) follow(ctx context.Context, r *state.Replica, src state.Sources, peers func(context.Context) (state.Checkpoint, error)) {
	f.replicas = append(f.replicas, r)
	follower := &state.Follower{Replica: r, Sources: src, Log: f.log, Peers: peers, PeersFirst: peers != nil, Logger: logr.Discard()}
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		follower.Run(ctx)
	}()
}

func (f *fleet) stop() {
	f.cancel()
	f.done.Wait()
}

// until waits until every replica stands at the offset, and returns how
// long that took.
func (f *fleet) until(offset int64) time.Duration {
	began := time.Now()
	for {
		behind := false
		for _, r := range f.replicas {
			if r.Offset() < offset {
				behind = true
				break
			}
		}
		if !behind {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func change(i int) state.WorkspaceSet {
	return state.WorkspaceSet{Workspace: workspace.Workspace{Name: fmt.Sprintf("w%d", i%10), KeyHash: "k", Priority: 1 + i%90}}
}

// TestInForceEverywhere accepts changes at the size to come and measures
// when all 1,030 processes have them: in calm, with a frozen gateway, and
// after an outage of the log.
func TestInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		f := newFleet(log)
		defer f.stop()
		time.Sleep(5 * time.Second)
		worst := time.Duration(0)
		for i := range 30 {
			log.append(change(i))
			worst = max(worst, f.until(int64(i+1)))
			time.Sleep(time.Duration(i%7) * 300 * time.Millisecond)
		}
		t.Logf("calm: worst of 30 changes %v", worst)
		assert.Assert(t, worst <= inForce)

		log.mu.Lock()
		before := log.reads
		log.mu.Unlock()
		const calm = 60 * time.Second
		time.Sleep(calm)
		log.mu.Lock()
		perSecond := float64(log.reads-before) / calm.Seconds()
		log.mu.Unlock()
		t.Logf("idle: the log answers %.1f reads a second for %d processes", perSecond, len(f.replicas))
		assert.Assert(t, perSecond <= gateways)

		frozen := f.relays["entry-3"]
		frozen.mu.Lock()
		frozen.frozen = true
		frozen.mu.Unlock()
		time.Sleep(3 * time.Second) // reads that wait end, the next ones hang
		log.append(change(30))
		took := f.until(31)
		t.Logf("a gateway frozen: %v", took)
		assert.Assert(t, took <= inForce, "%v", took)

		log.set(true)
		time.Sleep(10 * time.Minute)
		log.set(false)
		log.append(change(31))
		took = f.until(32)
		t.Logf("after an outage of 10 minutes: %v", took)
		assert.Assert(t, took <= inForce, "%v", took)
		first := f.replicas[0].Checkpoint().Digest
		for _, r := range f.replicas {
			assert.Equal(t, r.Checkpoint().Digest, first)
		}
	})
}

// TestStartUpHerd starts all processes at once, with and without the log:
// what each platform service sees at its peak.
func TestStartUpHerd(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("log down %v", down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				for i := range 20 {
					log.append(change(i))
				}
				warm := state.NewReplica() // what the gateways hold already
				assert.NilError(t, warm.Apply(log.entries))
				log.set(down)
				f := newFleet(log)
				defer f.stop()
				for _, g := range f.relays {
					assert.NilError(t, g.replica.Restore(warm.Checkpoint()))
				}
				took := f.until(20)
				time.Sleep(20 * time.Second)
				t.Logf("log down %v: all at the state after %v, peak %d reads of the log a second, %d of them checkpoints in all", down, took, log.peak(), log.checkpoints)
				assert.Assert(t, took <= inForce, "%v", took)
				assert.Assert(t, log.peak() <= 10*gateways, "%d reads a second", log.peak())
				assert.Assert(t, log.checkpoints <= 2*gateways, "%d reads of checkpoints", log.checkpoints)
			})
		})
	}
}
