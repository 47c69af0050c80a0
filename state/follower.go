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

// Source reads from the log service or from a gateway that relays it; see
// eventlog.Client, which implements it.
type Source interface {
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (eventlog.Page, error)
}

// Sources selects the source of each read. A Follower calls Next before each read. It
// calls Failed after a read that failed or returned outdated data, so that Next can
// return another source.
type Sources interface {
	Next() Source
	Failed(Source)
}

// SingleSource implements Sources and always returns the same Source.
type SingleSource struct{ Source Source }

// Next implements Sources.
func (o SingleSource) Next() Source { return o.Source }

// Failed implements Sources.
func (o SingleSource) Failed(Source) {}

// Timing of a Follower's reads.
const (
	// longPollWait is how long a read waits for a record before the log responds
	// with an empty page.
	longPollWait = 3 * time.Second
	// readTimeout bounds a read, including its wait.
	readTimeout = longPollWait + 1500*time.Millisecond
	// backoffMin and backoffMax bound the delay before a failed read is retried.
	backoffMin = 100 * time.Millisecond
	backoffMax = time.Second
	// maxRelayAge is the maximum age of the data that a relay serves. If they are older,
	// another source is tried.
	maxRelayAge = 6 * time.Second
	// startSpread is the upper bound of the random delay before the first request. The
	// delay spreads the load of many processes that start at once.
	startSpread = time.Second
)

// Follower keeps a Replica up to date. All exported fields are required except
// Peers and PeersFirst.
type Follower struct {
	Replica *Replica
	Sources Sources
	// Log is the log service, from which checkpoints are read.
	Log Source
	// Peers requests checkpoints from other processes and returns the one with the
	// highest offset. It is used if checkpoints cannot be read from the log. It may be
	// nil.
	Peers func(ctx context.Context) (Checkpoint, error)
	// PeersFirst requests the initial checkpoint from peers before the log. Sidecars
	// set it to limit the load on the log when many of them start at once.
	PeersFirst bool
	Logger     logr.Logger

	readSucceeded bool // at least one read succeeded
	// eraChanged is set if the era of the last page read differs from the replica's.
	eraChanged bool
}

// Run restores a checkpoint and then reads and applies records until ctx ends.
// It retries failed reads with exponential backoff, without limit.
func (f *Follower) Run(ctx context.Context) {
	f.restoreNewest(ctx)
	backoff := backoffMin
	for ctx.Err() == nil {
		src := f.Sources.Next()
		err := f.readOnce(ctx, src)
		if err == nil {
			backoff = backoffMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.Sources.Failed(src)
		f.Logger.V(1).Info("reading the log failed", "error", err.Error(), "offset", f.Replica.Offset())
		clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
}

// restoreNewest restores the newest available checkpoint before the first read.
func (f *Follower) restoreNewest(ctx context.Context) {
	if f.PeersFirst {
		clock.Sleep(ctx, rand.N(startSpread))
		f.restoreFromPeers(ctx)
		if f.Replica.Offset() > 0 {
			return
		}
	}
	if err := f.restoreFromLog(ctx); err != nil {
		f.Logger.Info("reading checkpoints from the log failed", "error", err.Error())
		f.restoreFromPeers(ctx)
	}
}

// readOnce reads one page from src and applies its records.
func (f *Follower) readOnce(ctx context.Context, src Source) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requested := time.Now()
	from := f.Replica.Offset()
	page, err := src.Read(ctx, eventlog.ConfigStream, from, f.readWait())
	if err == nil || errors.Is(err, eventlog.ErrGone) {
		if eraErr := f.checkEra(page); eraErr != nil {
			return eraErr
		}
	}
	if errors.Is(err, eventlog.ErrGone) {
		return f.catchUp(ctx, page)
	}
	if err != nil {
		return err
	}
	if page.Next < from {
		return errors.Errorf("log ends at offset %d, below the state's offset %d", page.Next, from)
	}
	if err := f.Replica.Apply(page.Records); err != nil {
		return err
	}
	f.readSucceeded = true
	age := time.Duration(page.AgeMS) * time.Millisecond
	f.Replica.MarkContact(requested.Add(-age))
	if age > maxRelayAge {
		f.Sources.Failed(src)
	}
	return nil
}

// checkEra returns ErrEraChanged if the page's era differs from the replica's, because
// the log was restored from an older copy. The replica then keeps its state and applies
// no records of the new era. Its contact time no longer advances, so changes are refused
// until all processes have been restarted.
func (f *Follower) checkEra(page eventlog.Page) error {
	if f.Replica.MatchesEra(page.Era) {
		f.eraChanged = false
		return nil
	}
	if !f.eraChanged {
		f.eraChanged = true
		f.Logger.Info("log was restored from an older copy; keeping the state and applying no more records", "era", page.Era, "end", page.Next, "offset", f.Replica.Offset())
	}
	return errors.WithType(errors.Errorf("log is in era %d", page.Era), eventlog.ErrEraChanged)
}

// readWait returns how long the next read waits for a record. It is 0 until a first read
// has succeeded, so that a starting process makes contact with the log at once.
func (f *Follower) readWait() time.Duration {
	if !f.readSucceeded {
		return 0
	}
	return longPollWait
}

// catchUp restores a checkpoint if the log no longer retains the next records. It
// fails if the replica is still below the first retained offset.
func (f *Follower) catchUp(ctx context.Context, page eventlog.Page) error {
	f.Logger.Info("next records are no longer in the log, restoring a checkpoint", "offset", f.Replica.Offset(), "first", page.First)
	if err := f.restoreFromLog(ctx); err != nil {
		f.restoreFromPeers(ctx)
	}
	if f.Replica.Offset() < page.First {
		return errors.Errorf("no checkpoint at or above offset %d, the first in the log", page.First)
	}
	return nil
}

// restoreFromPeers restores the checkpoint that Peers returns. It does nothing if Peers
// is nil, and logs an error.
func (f *Follower) restoreFromPeers(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	c, err := f.Peers(ctx)
	if err != nil {
		f.Logger.V(1).Info("getting a checkpoint from peers failed", "error", err.Error())
		return
	}
	f.restore(c, "peer")
}

// restoreFromLog restores the newest valid checkpoint in the log, if there is one.
// It returns an error only if the checkpoints cannot be read.
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

// restore restores a checkpoint and reports whether it is valid. from is logged: "log"
// or "peer".
func (f *Follower) restore(c Checkpoint, from string) bool {
	if err := f.Replica.Restore(c); err != nil {
		f.Logger.Info("checkpoint is invalid", "from", from, "error", err.Error())
		return false
	}
	return true
}

// CheckpointEvery is the number of records between two checkpoints. The log must
// retain at least twice as many.
const CheckpointEvery = 200

// Checkpointer writes checkpoints to the log, for processes that start later. Every
// gateway runs one. A random delay before each write makes it rare that two gateways
// write a checkpoint for the same records; if they do, it is harmless.
type Checkpointer struct {
	Replica *Replica
	Log     *eventlog.Client
	Logger  logr.Logger
	// Every overrides CheckpointEvery if it isn't 0.
	Every int64

	lastOffset int64 // offset of the last checkpoint written by any process
}

// Run writes checkpoints until ctx ends.
func (c *Checkpointer) Run(ctx context.Context) {
	every := c.Every
	if every == 0 {
		every = CheckpointEvery
	}
	for ctx.Err() == nil {
		changed := c.Replica.Changed()
		if c.Replica.Offset()-c.lastOffset >= every {
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

// write writes a checkpoint. It skips the write if the newest checkpoint in the log is
// behind the replica by fewer records than every.
func (c *Checkpointer) write(ctx context.Context, every int64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if newest, err := c.newestOffset(ctx); err == nil && c.Replica.Offset()-newest < every {
		c.lastOffset = newest
		return
	}
	cp := c.Replica.Checkpoint()
	if _, err := c.Log.Append(ctx, eventlog.CheckpointStream, cp); err != nil {
		c.Logger.Info("writing a checkpoint failed", "offset", cp.Offset, "error", err.Error())
		clock.Sleep(ctx, backoffMax)
		return
	}
	c.lastOffset = cp.Offset
	c.Logger.Info("checkpoint written", "offset", cp.Offset)
}

// newestOffset returns the offset of the newest checkpoint in the log, or 0 if there
// is none.
func (c *Checkpointer) newestOffset(ctx context.Context) (int64, error) {
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
