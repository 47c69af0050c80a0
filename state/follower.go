// SPDX-License-Identifier: Apache-2.0

package state

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/eventlog"
	"github.com/mintlift/mintlift/internal/clock"
)

// Source is where a Follower reads: the log service, or a gateway that
// relays it. eventlog.Client is one.
type Source interface {
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (eventlog.Page, error)
}

// Sources chooses where to read next. The follower calls Next before each
// read and tells Failed when a read did not succeed, so that the next
// choice can be another.
type Sources interface {
	Next() Source
	Failed(Source)
}

// Only is Sources with one choice.
type Only struct{ Source Source }

// Next implements Sources.
func (o Only) Next() Source { return o.Source }

// Failed implements Sources.
func (o Only) Failed(Source) {}

// Timing of a Follower.
const (
	// pollWait is how long a read waits for a record. An answer without one
	// is a sign of life: silence beyond it is not calm.
	pollWait    = 3 * time.Second
	readTimeout = pollWait + 1500*time.Millisecond
	pauseMin    = 100 * time.Millisecond
	pauseMax    = time.Second
	// relayStale is the age from which another relay is worth a try.
	relayStale = 6 * time.Second
	// startSpread spreads what many processes do that start at once.
	startSpread = time.Second
)

// Follower keeps a Replica up to date. All fields are needed but Peers.
type Follower struct {
	Replica *Replica
	Sources Sources
	// Log reads checkpoints from the log service itself.
	Log Source
	// Peers returns the highest checkpoint that other processes hold, for a
	// start while the log is out. It may be nil.
	Peers func(ctx context.Context) (Checkpoint, error)
	// PeersFirst asks the peers before the log: sidecars do, so that many
	// that start at once do not all read checkpoints from the log.
	PeersFirst bool
	Logger     logr.Logger

	heard bool // a read has been answered
	// otherEra says that the log was last seen in another era.
	otherEra bool
}

// Run follows until ctx ends. It reports nothing: a failed read is tried
// again, with pauses, for as long as it takes.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	pause := pauseMin
	for ctx.Err() == nil {
		src := f.Sources.Next()
		err := f.step(ctx, src)
		if err == nil {
			pause = pauseMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Sources.Failed(src)
		f.Logger.V(1).Info("read failed", "error", err.Error(), "offset", f.Replica.Offset())
		clock.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, pauseMax)
	}
}

// start takes the newest checkpoint within reach before the first read.
func (f *Follower) start(ctx context.Context) {
	if f.PeersFirst {
		clock.Sleep(ctx, rand.N(startSpread))
		f.restoreFromPeers(ctx)
		if f.Replica.Offset() > 0 {
			return
		}
	}
	if err := f.restoreFromLog(ctx); err != nil {
		f.Logger.Info("no checkpoint from the log", "error", err.Error())
		f.restoreFromPeers(ctx)
	}
}

func (f *Follower) step(ctx context.Context, src Source) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := time.Now()
	from := f.Replica.Offset()
	page, err := src.Read(ctx, eventlog.ConfigStream, from, f.patience())
	if err == nil || errors.Is(err, eventlog.ErrGone) {
		if era := f.checkEra(page); era != nil {
			return era
		}
	}
	if errors.Is(err, eventlog.ErrGone) {
		return f.catchUp(ctx, page)
	}
	if err != nil {
		return err
	}
	if page.Next < from {
		return errors.Errorf("log ends at %d, below the state's offset %d", page.Next, from)
	}
	if err := f.Replica.Apply(page.Records); err != nil {
		return err
	}
	f.heard = true
	age := time.Duration(page.AgeMS) * time.Millisecond
	f.Replica.Heard(asked.Add(-age))
	if age > relayStale {
		f.Sources.Failed(src)
	}
	return nil
}

// checkEra returns ErrOtherEra for a page of a log that has come back from an
// older copy. What was applied is not taken back, and nothing of another history
// is applied on top of it: the log counts as silent, so that no change is
// accepted, until all processes begin anew.
func (f *Follower) checkEra(page eventlog.Page) error {
	if f.Replica.InEra(page.Era) {
		f.otherEra = false
		return nil
	}
	if !f.otherEra {
		f.otherEra = true
		f.Logger.Info("log came back from an older copy, the state is kept and no change is taken", "era", page.Era, "end", page.Next, "offset", f.Replica.Offset())
	}
	return errors.WithType(errors.Errorf("era %d", page.Era), eventlog.ErrOtherEra)
}

// patience is how long a read may wait for a record: not at all until one
// has been answered, since a process that starts needs to know at once that
// the log is heard.
func (f *Follower) patience() time.Duration {
	if !f.heard {
		return 0
	}
	return pollWait
}

// catchUp loads a checkpoint when the records to be read next are gone.
func (f *Follower) catchUp(ctx context.Context, page eventlog.Page) error {
	f.Logger.Info("records are gone, loading a checkpoint", "offset", f.Replica.Offset(), "first", page.First)
	if err := f.restoreFromLog(ctx); err != nil {
		f.restoreFromPeers(ctx)
	}
	if f.Replica.Offset() < page.First {
		return errors.Errorf("no checkpoint reaches offset %d", page.First)
	}
	return nil
}

func (f *Follower) restoreFromPeers(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	c, err := f.Peers(ctx)
	if err != nil {
		f.Logger.V(1).Info("no checkpoint from peers", "error", err.Error())
		return
	}
	f.restore(c, "peer")
}

// restoreFromLog tries the checkpoints in the log from the newest on, so
// that a torn or wrong one costs nothing but a step back.
func (f *Follower) restoreFromLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := f.Log.Read(ctx, eventlog.CheckpointStream, 0, 0)
	if errors.Is(err, eventlog.ErrGone) {
		page, err = f.Log.Read(ctx, eventlog.CheckpointStream, page.First, 0)
	}
	if err != nil {
		return err
	}
	for i := len(page.Records) - 1; i >= 0; i-- {
		var c Checkpoint
		if err := json.Unmarshal(page.Records[i].Data, &c); err == nil && f.restore(c, "log") {
			return nil
		}
	}
	return nil
}

func (f *Follower) restore(c Checkpoint, from string) bool {
	if err := f.Replica.Restore(c); err != nil {
		f.Logger.Info("checkpoint refused", "from", from, "error", err.Error())
		return false
	}
	return true
}

// CheckpointEvery is how many records lie between two checkpoints. The log
// must keep at least twice as many.
const CheckpointEvery = 200

// Checkpointer writes checkpoints for the processes that start later. Every
// gateway runs one; two checkpoints of one offset are equal and do no harm,
// and a random wait makes them rare.
type Checkpointer struct {
	Replica *Replica
	Log     *eventlog.Client
	Logger  logr.Logger
	// Every overrides CheckpointEvery.
	Every int64

	last int64
}

// Run writes until ctx ends.
func (c *Checkpointer) Run(ctx context.Context) {
	every := c.Every
	if every == 0 {
		every = CheckpointEvery
	}
	for ctx.Err() == nil {
		changed := c.Replica.Changed()
		if c.Replica.Offset()-c.last >= every {
			clock.Sleep(ctx, rand.N(2*time.Second))
			c.write(ctx, every)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (c *Checkpointer) write(ctx context.Context, every int64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if at, err := c.newest(ctx); err == nil && c.Replica.Offset()-at < every {
		c.last = at
		return
	}
	cp := c.Replica.Checkpoint()
	if _, err := c.Log.Append(ctx, eventlog.CheckpointStream, cp); err != nil {
		c.Logger.Info("checkpoint not written", "offset", cp.Offset, "error", err.Error())
		clock.Sleep(ctx, pauseMax)
		return
	}
	c.last = cp.Offset
	c.Logger.Info("checkpoint written", "offset", cp.Offset)
}

// newest is the offset of the newest checkpoint that stands in the log.
func (c *Checkpointer) newest(ctx context.Context) (int64, error) {
	page, err := c.Log.Read(ctx, eventlog.CheckpointStream, 0, 0)
	if errors.Is(err, eventlog.ErrGone) {
		page, err = c.Log.Read(ctx, eventlog.CheckpointStream, page.First, 0)
	}
	if err != nil || len(page.Records) == 0 {
		return 0, err
	}
	var cp Checkpoint
	err = json.Unmarshal(page.Records[len(page.Records)-1].Data, &cp)
	return cp.Offset, err
}
