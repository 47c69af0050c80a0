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

// Parameters of the simulated cluster, which has the largest supported size.
const (
	gateways         = 10
	sidecars         = 1020
	propagationLimit = 7 * time.Second      // time within which a change must reach every process
	networkDelay     = 5 * time.Millisecond // delay of each read
)

// errUnavailable is the error of reads while the log service is down.
var errUnavailable = errors.New("log service unavailable")

// fakeLog simulates the log service. changed is closed and replaced at each append.
type fakeLog struct {
	mu              sync.Mutex
	entries         []eventlog.Entry
	changed         chan struct{}
	down            bool
	reads           int
	checkpointReads int
	readsPerSecond  map[int64]int // by Unix second
}

// newFakeLog returns an empty log that is available.
func newFakeLog() *fakeLog {
	return &fakeLog{changed: make(chan struct{}), readsPerSecond: make(map[int64]int)}
}

// append adds a record that sets a workspace.
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

// setDown makes all reads fail, or succeed again.
func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Read implements state.Source.
func (l *fakeLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (eventlog.Page, error) {
	time.Sleep(networkDelay)
	l.mu.Lock()
	l.reads++
	l.readsPerSecond[time.Now().Unix()]++
	if stream == eventlog.CheckpointStream {
		l.checkpointReads++
		defer l.mu.Unlock()
		if l.down {
			return eventlog.Page{}, errUnavailable
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
			return eventlog.Page{}, errUnavailable
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

// peakReadsPerSecond returns the highest number of reads within one second.
func (l *fakeLog) peakReadsPerSecond() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	peak := 0
	for _, n := range l.readsPerSecond {
		peak = max(peak, n)
	}
	return peak
}

// fakeGateway serves the log from a replica, like package gateway. While frozen is
// set, it does not respond to reads.
type fakeGateway struct {
	replica *state.Replica
	mu      sync.Mutex
	frozen  bool
	reads   int
}

// Read implements state.Source.
func (g *fakeGateway) Read(ctx context.Context, _ string, from int64, wait time.Duration) (eventlog.Page, error) {
	time.Sleep(networkDelay)
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

// directoryChoice is a state.Sources of fake gateways, chosen by a real
// Directory.
type directoryChoice struct {
	d       *Directory
	sources map[string]*fakeGateway
	log     *fakeLog
	lastID  string
}

// Next implements state.Sources.
func (c *directoryChoice) Next() state.Source {
	g, ok := c.d.chooseGateway(time.Now())
	if !ok {
		c.lastID = ""
		return c.log
	}
	c.lastID = g.ID
	return c.sources[g.ID]
}

// Failed implements state.Sources.
func (c *directoryChoice) Failed(state.Source) {
	if c.lastID != "" {
		c.d.backOff(c.lastID)
	}
}

// cluster is a simulated cluster of the largest supported size. replicas holds the
// replicas of all gateways, followed by those of all sidecars.
type cluster struct {
	log         *fakeLog
	gatewayByID map[string]*fakeGateway
	replicas    []*state.Replica
	cancel      context.CancelFunc
	done        sync.WaitGroup
}

// newCluster starts followers for all gateways and sidecars.
func newCluster(log *fakeLog) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	c := &cluster{log: log, gatewayByID: make(map[string]*fakeGateway), cancel: cancel}
	var boxes []membership.Box
	for i := range gateways {
		id := fmt.Sprintf("entry-%d", i)
		boxes = append(boxes, membership.Box{ID: id, Role: membership.Gateway})
		g := &fakeGateway{replica: state.NewReplica()}
		c.gatewayByID[id] = g
		c.follow(ctx, g.replica, state.SingleSource{Source: log}, nil)
	}
	for i := range sidecars {
		choice := &directoryChoice{d: &Directory{Self: fmt.Sprintf("box-%d", i)}, sources: c.gatewayByID, log: log}
		choice.d.setBoxes(boxes, "")
		peers := func(context.Context) (state.Checkpoint, error) {
			time.Sleep(2 * networkDelay)
			g, _ := choice.d.chooseGateway(time.Now())
			return c.gatewayByID[g.ID].replica.Checkpoint(), nil
		}
		c.follow(ctx, state.NewReplica(), choice, peers)
	}
	return c
}

// follow starts a follower that keeps r up to date.
func (c *cluster) follow(ctx context.Context, r *state.Replica, src state.Sources, peers func(context.Context) (state.Checkpoint, error)) {
	c.replicas = append(c.replicas, r)
	follower := &state.Follower{Replica: r, Sources: src, Log: c.log, Peers: peers, PeersFirst: peers != nil, Logger: logr.Discard()}
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		follower.Run(ctx)
	}()
}

// stop stops all followers and waits for them.
func (c *cluster) stop() {
	c.cancel()
	c.done.Wait()
}

// awaitOffset waits until every replica has reached offset, and returns how long
// that took.
func (c *cluster) awaitOffset(offset int64) time.Duration {
	start := time.Now()
	for {
		pending := false
		for _, r := range c.replicas {
			if r.Offset() < offset {
				pending = true
				break
			}
		}
		if !pending {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// workspaceChange returns a different change of a workspace for each i.
func workspaceChange(i int) state.WorkspaceSet {
	return state.WorkspaceSet{Workspace: workspace.Workspace{Name: fmt.Sprintf("w%d", i%10), KeyHash: "k", Priority: 1 + i%90}}
}

// TestChangeReachesAllProcessesInTime guards against changes that take longer than
// propagationLimit to reach all processes: in normal operation, with an
// unresponsive gateway, and after an outage of the log. It also bounds the load on
// the log while nothing changes.
func TestChangeReachesAllProcessesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		c := newCluster(log)
		defer c.stop()
		time.Sleep(5 * time.Second)
		slowest := time.Duration(0)
		for i := range 30 {
			log.append(workspaceChange(i))
			slowest = max(slowest, c.awaitOffset(int64(i+1)))
			time.Sleep(time.Duration(i%7) * 300 * time.Millisecond)
		}
		t.Logf("normal operation: slowest of 30 changes took %v", slowest)
		assert.Assert(t, slowest <= propagationLimit)

		log.mu.Lock()
		readsBefore := log.reads
		log.mu.Unlock()
		const idle = 60 * time.Second
		time.Sleep(idle)
		log.mu.Lock()
		idleReadsPerSecond := float64(log.reads-readsBefore) / idle.Seconds()
		log.mu.Unlock()
		t.Logf("idle: the log serves %.1f reads per second for %d processes", idleReadsPerSecond, len(c.replicas))
		assert.Assert(t, idleReadsPerSecond <= gateways)

		frozen := c.gatewayByID["entry-3"]
		frozen.mu.Lock()
		frozen.frozen = true
		frozen.mu.Unlock()
		time.Sleep(3 * time.Second) // pending reads end, later ones are not answered
		log.append(workspaceChange(30))
		elapsed := c.awaitOffset(31)
		t.Logf("one gateway unresponsive: change took %v", elapsed)
		assert.Assert(t, elapsed <= propagationLimit, "%v", elapsed)

		log.setDown(true)
		time.Sleep(10 * time.Minute)
		log.setDown(false)
		log.append(workspaceChange(31))
		elapsed = c.awaitOffset(32)
		t.Logf("after a log outage of 10 minutes: change took %v", elapsed)
		assert.Assert(t, elapsed <= propagationLimit, "%v", elapsed)
		first := c.replicas[0].Checkpoint().Digest
		for _, r := range c.replicas {
			assert.Equal(t, r.Checkpoint().Digest, first)
		}
	})
}

// TestSimultaneousStart guards against a start of all processes at once that
// overloads the log service or takes too long, with the log available and not.
func TestSimultaneousStart(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("log down %v", down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newFakeLog()
				for i := range 20 {
					log.append(workspaceChange(i))
				}
				warm := state.NewReplica() // the gateways' initial state
				assert.NilError(t, warm.Apply(log.entries))
				log.setDown(down)
				c := newCluster(log)
				defer c.stop()
				for _, g := range c.gatewayByID {
					assert.NilError(t, g.replica.Restore(warm.Checkpoint()))
				}
				elapsed := c.awaitOffset(20)
				time.Sleep(20 * time.Second)
				t.Logf("log down %v: all replicas up to date after %v, peak %d log reads per second, %d checkpoint reads in total", down, elapsed, log.peakReadsPerSecond(), log.checkpointReads)
				assert.Assert(t, elapsed <= propagationLimit, "%v", elapsed)
				assert.Assert(t, log.peakReadsPerSecond() <= 10*gateways, "%d log reads per second", log.peakReadsPerSecond())
				assert.Assert(t, log.checkpointReads <= 2*gateways, "%d checkpoint reads", log.checkpointReads)
			})
		})
	}
}
