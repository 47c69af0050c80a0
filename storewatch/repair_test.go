// SPDX-License-Identifier: Apache-2.0

package storewatch_test

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/freshness"
	"github.com/mintlift/mintlift/history"
	"github.com/mintlift/mintlift/storewatch"
	"github.com/mintlift/mintlift/telemetry"
)

// logStore is a store in memory. Values are versions.
type logStore struct {
	mu      sync.Mutex
	records []storewatch.Record
	first   int64 // the first offset that is retained
	changed chan struct{}
	reread  int // reads of records that precede the end
}

func newLogStore(versions ...int) *logStore {
	s := &logStore{changed: make(chan struct{})}
	for _, v := range versions {
		s.put("k", v)
	}
	return s
}

// put appends a record.
func (s *logStore) put(key string, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(key, version)
}

// delete appends a record that deletes a key.
func (s *logStore) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, storewatch.Record{Key: key, Offset: int64(len(s.records))})
}

// putAt appends a record if the store ends at an offset, and reports whether it does.
func (s *logStore) putAt(at int64, key string, version int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at != int64(len(s.records)) {
		return false
	}
	s.putLocked(key, version)
	return true
}

// putLocked implements put. logStore.mu is held.
func (s *logStore) putLocked(key string, version int) {
	s.records = append(s.records, storewatch.Record{Key: key, Value: []byte(strconv.Itoa(version)), Offset: int64(len(s.records))})
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops all records but the newest of each key.
func (s *logStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = int64(len(s.records))
}

// Newest implements storewatch.Store.
func (s *logStore) Newest(context.Context, string) (*storewatch.Newest, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := make(map[string]storewatch.Record)
	for _, r := range s.records {
		last[r.Key] = r
	}
	out := &storewatch.Newest{Pages: 1, End: int64(len(s.records))}
	for _, r := range s.records {
		if last[r.Key].Offset == r.Offset {
			out.Records = append(out.Records, r)
		}
	}
	return out, nil
}

// Read implements storewatch.Store.
func (s *logStore) Read(ctx context.Context, _ string, from history.Position, wait time.Duration) ([]storewatch.Record, history.Position, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		end, changed, gone := int64(len(s.records)), s.changed, from.Offset < s.first
		out := slices.Clone(s.records[from.Offset:])
		if len(out) > 0 {
			s.reread++
		}
		s.mu.Unlock()
		if gone {
			return nil, history.Position{Offset: s.first}, storewatch.ErrGone
		}
		if len(out) > 0 {
			return out, history.Position{Offset: end}, nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, from, nil
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
}

func (s *logStore) Era() int64                        { return 0 }
func (s *logStore) ObserveEra(int64) bool             { return true }
func (s *logStore) OthersLate(string, time.Time) bool { return false }

// repairTopic is a topic of repairs in memory, with faults.
type repairTopic struct {
	*logStore
	mu      sync.Mutex
	appends int
	failing bool
	delay   time.Duration
	// late, unless 0, is when the next append is carried out; it gets no response.
	late time.Duration
}

// loseNext makes the next append fail although it is carried out, after a delay.
func (r *repairTopic) loseNext(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late = delay
}

// fault delays a call or fails it, as the topic's faults say.
func (r *repairTopic) fault() error {
	r.mu.Lock()
	delay, failing := r.delay, r.failing
	r.mu.Unlock()
	time.Sleep(delay)
	if failing {
		return errors.New("not available")
	}
	return nil
}

// Append implements storewatch.Topic.
func (r *repairTopic) Append(_ context.Context, _ int, at int64, key string, value []byte) error {
	if err := r.fault(); err != nil {
		return err
	}
	version, err := strconv.Atoi(string(value))
	r.mu.Lock()
	late := r.late
	r.late = 0
	r.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { r.putAt(at, key, version) })
		return errors.New("no response")
	}
	if !r.putAt(at, key, version) {
		return errors.New("the topic does not end there")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.appends++
	return err
}

// Newest implements storewatch.Topic.
func (r *repairTopic) Newest(ctx context.Context, _ int) (*storewatch.Newest, error) {
	if err := r.fault(); err != nil {
		return nil, err
	}
	return r.logStore.Newest(ctx, "")
}

// set changes the topic's faults.
func (r *repairTopic) set(failing bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing, r.delay = failing, delay
}

// count returns the number of records appended.
func (r *repairTopic) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appends
}

// follow starts a watcher of the store in a synctest bubble. It returns a function with the
// versions applied so far, and the watcher.
func follow(t *testing.T, store *logStore, topic *repairTopic) (*storewatch.Watcher, func() []int) {
	var mu sync.Mutex
	var applied []int
	w := storewatch.New(store, logr.Discard(), telemetry.NewMetrics())
	apply := func(r storewatch.Record) {
		version, err := strconv.Atoi(string(r.Value))
		if err == nil && w.Keep(r, int64(version)) {
			mu.Lock()
			defer mu.Unlock()
			applied = append(applied, version)
		}
	}
	version := func(r storewatch.Record) (int64, bool) {
		n, err := strconv.Atoi(string(r.Value))
		return int64(n), err == nil
	}
	budget := freshness.New(2 * time.Second)
	source := &storewatch.Source{
		Topic: "operator", Budget: &budget, Wake: w.Wakeups(), OnRecord: apply,
		OnSnapshot: func(records []storewatch.Record, _ int64) {
			for _, r := range records {
				apply(r)
			}
		},
		OnRepair: apply,
		Repairs:  storewatch.NewRepairs(topic, version, logr.Discard()),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Follow(ctx, source)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w, func() []int {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(applied)
	}
}

// Guards against a process that starts with an older version than the store has accepted,
// because the write of the older one was carried out last.
func TestSnapshotIsCorrectedByRepairs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, topic := newLogStore(2), &repairTopic{logStore: newLogStore()}
		_, before := follow(t, store, topic)
		time.Sleep(time.Second)
		store.put("k", 3)
		store.put("k", 2)
		time.Sleep(time.Second)
		assert.DeepEqual(t, before(), []int{2, 3})
		w, after := follow(t, store, topic)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, after(), []int{3})
		records, _, _, _ := w.Since(history.Position{Offset: 2})
		assert.Equal(t, len(records), 1, "passed on in place of the record that it replaces")
		store.put("k", 4)
		time.Sleep(time.Second)
		_, later := follow(t, store, topic)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, later(), []int{4}) // a higher version makes the repair ineffective
		assert.Equal(t, topic.count(), 1)
	})
}

// Guards against a process that starts with an older version, because nothing ran when its
// write was carried out last. The store may not retain the records before.
func TestSnapshotIsCorrectedByRetainedRecords(t *testing.T) {
	for name, c := range map[string]struct {
		between  int   // records of another key between the two versions
		retained int64 // the first offset that is retained
		applied  int
		repairs  int
	}{
		"all retained":       {between: 40, applied: 3, repairs: 1},
		"shortly before":     {between: 1, retained: 1, applied: 3, repairs: 1},
		"not retained":       {between: 40, retained: 20, applied: 2},
		"no record retained": {between: 40, retained: 43, applied: 2},
		"more than are read": {between: 300, applied: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, topic := newLogStore(1, 3), &repairTopic{logStore: newLogStore()}
				for n := range c.between {
					store.put("other", n)
				}
				store.put("k", 2)
				store.first = c.retained
				w, applied := follow(t, store, topic)
				time.Sleep(time.Second)
				assert.Assert(t, slices.Contains(applied(), c.applied), "%v", applied())
				assert.Assert(t, c.applied == 2 || !slices.Contains(applied(), 2), "%v", applied())
				assert.Equal(t, topic.count(), c.repairs)
				assert.Equal(t, w.Progress().Read.Offset, int64(c.between+3))
			})
		})
	}
}

// Guards against a record that is restored although the operator has deleted its key since,
// and set it anew.
func TestDeletedRecordIsNotRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, topic := newLogStore(3), &repairTopic{logStore: newLogStore()}
		store.delete("k")
		store.put("k", 2)
		_, applied := follow(t, store, topic)
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, applied(), []int{2})
		assert.Equal(t, topic.count(), 0)
	})
}

// Guards against a start that is delayed beyond its bound, or that ignores repairs, because
// the topic of repairs does not respond in time.
func TestRepairsThatArriveLateAreApplied(t *testing.T) {
	for name, fault := range map[string]func(*repairTopic){
		"slow":    func(r *repairTopic) { r.set(false, 1500*time.Millisecond) },
		"failing": func(r *repairTopic) { r.set(true, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, topic := newLogStore(2), &repairTopic{logStore: newLogStore(3)}
				fault(topic)
				w, applied := follow(t, store, topic)
				time.Sleep(300 * time.Millisecond)
				assert.DeepEqual(t, applied(), []int{2}) // the start does not wait for repairs
				topic.set(false, 0)
				time.Sleep(4 * time.Second)
				assert.DeepEqual(t, applied(), []int{2, 3})
				assert.Equal(t, w.VersionSum(), int64(3), "others fetch the records of a higher sum")
			})
		})
	}
}

// Guards against repairs that are lost with a failed write, and against writes without
// need: none in the normal order, one for each record, however often it is read.
func TestRepairIsWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, topic := newLogStore(1), &repairTopic{logStore: newLogStore()}
		_, applied := follow(t, store, topic)
		time.Sleep(100 * time.Millisecond)
		for version := 2; version < 20; version++ {
			store.put("k", version)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, topic.count(), 0)
		topic.set(true, 0)
		for range 5 {
			store.put("k", 18)
		}
		time.Sleep(5 * time.Second)
		assert.Equal(t, topic.count(), 0)
		topic.set(false, 0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, topic.count(), 1)
		assert.Equal(t, len(applied()), 19)
	})
}

// Guards against links that are saturated when all processes start at the same time: what
// one reads of the records before a snapshot is bounded in bytes, or by few records.
func TestHistoryIsBounded(t *testing.T) {
	for _, size := range []int{1, 100, 5_000, 130_000, 262_144} {
		snapshot := []storewatch.Record{{Key: "small", Value: make([]byte, 1)}, {Key: "large", Value: make([]byte, size)}}
		length := storewatch.HistoryLength(snapshot)
		assert.Check(t, length >= 8 && length <= 256, "%d records of %d bytes", length, size)
		assert.Check(t, length*int64(size) <= max(512<<10, 8*int64(size)), "%d records of %d bytes", length, size)
	}
	assert.Equal(t, storewatch.HistoryLength(nil), int64(256))
}

// Guards against a record that is lost at the next restart because no reader of the store
// has repaired it: the readers started after it had been replaced, and got the higher
// version from another process.
func TestRecordFromAnotherProcessIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, topic := newLogStore(3, 2), &repairTopic{logStore: newLogStore()}
		store.compact()
		w, applied := follow(t, store, topic)
		time.Sleep(time.Second)
		assert.DeepEqual(t, applied(), []int{2})
		assert.Assert(t, w.Keep(storewatch.Record{Key: "k", Value: []byte("3"), Offset: 0}, 3))
		time.Sleep(2 * time.Second)
		assert.Equal(t, topic.count(), 1)
		_, later := follow(t, store, topic)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, later(), []int{3})
	})
}

// Guards against an older repair that replaces a newer one, because its write, too, was
// carried out late.
func TestRepairWrittenLateIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, topic := newLogStore(1), &repairTopic{logStore: newLogStore()}
		follow(t, store, topic)
		time.Sleep(100 * time.Millisecond)
		topic.loseNext(5 * time.Second)
		for _, version := range []int{3, 2, 4, 3} {
			store.put("k", version)
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		store.compact()
		_, applied := follow(t, store, topic)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, applied(), []int{4})
	})
}

// Guards against a topic of repairs that does not respond and makes each reader of the store
// read the records before its snapshot again and again.
func TestHistoryIsReadOnceWhileRepairsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, topic := newLogStore(1, 3, 2), &repairTopic{logStore: newLogStore()}
		topic.set(true, 0)
		_, applied := follow(t, store, topic)
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, applied(), []int{3})
		store.mu.Lock()
		reads := store.reread
		store.mu.Unlock()
		assert.Equal(t, reads, 1)
		topic.set(false, 0)
		time.Sleep(5 * time.Second)
		assert.Equal(t, topic.count(), 1)
	})
}
