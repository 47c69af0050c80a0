// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/loadtrust"
	"github.com/mintlift/mintlift/storewatch"
	"github.com/mintlift/mintlift/telemetry"
)

// memoryTopic is a storewatch.Topic with one partition. While failing is set, all calls fail.
type memoryTopic struct {
	mu             sync.Mutex
	records        []storewatch.Record
	reads, appends int
	failing        bool
}

// Append implements storewatch.Topic.
func (t *memoryTopic) Append(_ context.Context, _ int, at int64, key string, value []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failing {
		return errors.New("not available")
	}
	if at != storewatch.AnyOffset && at != int64(len(t.records)) {
		return errors.New("the partition does not end there")
	}
	t.appends++
	t.records = append(t.records, storewatch.Record{Key: key, Value: value, Offset: int64(len(t.records))})
	return nil
}

// Newest implements storewatch.Topic.
func (t *memoryTopic) Newest(context.Context, int) (*storewatch.Newest, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.failing {
		return nil, errors.New("not available")
	}
	newest := make(map[string]storewatch.Record)
	for _, r := range t.records {
		newest[r.Key] = r
	}
	out := &storewatch.Newest{End: int64(len(t.records)), Pages: 1}
	for _, r := range newest {
		out.Records = append(out.Records, r)
	}
	slices.SortFunc(out.Records, func(a, b storewatch.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return out, nil
}

// counts returns the numbers of reads and of records appended.
func (t *memoryTopic) counts() (reads, appends int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.appends
}

// An archived manifest must not be replaced by one of an older version, by the same one, or by
// a writer that has not read it. A record that is invalid must not block later ones.
func TestArchive(t *testing.T) {
	ctx := t.Context()
	topic := &memoryTopic{}
	a := NewArchive(topic)
	_, err := a.Manifest(ctx, testModel, 2)
	assert.Assert(t, errors.Is(err, errors.NotFound))
	newer := 2 + archivedVersions
	for _, version := range []int{2, 2, 3, newer, 2} {
		assert.NilError(t, a.Save(ctx, manifestOf(version)))
	}
	_, appends := topic.counts()
	assert.Equal(t, appends, 3)
	_, err = a.Manifest(ctx, testModel, 2)
	assert.Assert(t, errors.Is(err, errors.NotFound))
	for _, version := range []int{3, newer} {
		m, err := a.Manifest(ctx, testModel, version)
		assert.NilError(t, err)
		assert.DeepEqual(t, m, manifestOf(version))
	}
	assert.NilError(t, topic.Append(ctx, archivePart, storewatch.AnyOffset, archiveKey(testModel, 3), []byte(`{"digests":["0`)))
	_, err = a.Manifest(ctx, testModel, 3)
	assert.Assert(t, errors.Is(err, errors.NotFound))
	assert.NilError(t, a.Save(ctx, manifestOf(3)))
	_, err = a.Manifest(ctx, testModel, 3)
	assert.NilError(t, err)
}

// Guards against engines that stay unused for good, although all hold the right weights: the
// origin is lost, and no gateway remembers the loads, since all processes were killed.
func TestLoadIsTrustedWithoutOriginAndGateways(t *testing.T) {
	topic := &memoryTopic{}
	assert.NilError(t, NewArchive(topic).Save(t.Context(), manifestOf(2)))
	i, e := startOnInheritedLoadOf(t, 2, Settings{Box: "box0", Region: "r", Archive: NewArchive(topic)}, &fakeOrigin{down: true})
	assert.Assert(t, awaitDecision(t, i) < loadtrust.DecisionTime)
	assert.Assert(t, !i.Unverified())
	assert.Equal(t, len(e.started), 0)
}

// Guards against wrong weights: an archived manifest must not confirm a load whose staged chunks
// have become corrupt, or are those of another version than the engine reports, as after a
// restart with an order that was carried out late.
func TestArchiveDoesNotConfirmOtherChunks(t *testing.T) {
	for name, change := range map[string]func(*fakeEngine){
		"corrupt chunk":   func(e *fakeEngine) { e.stage[3][0] ^= 1 },
		"missing chunk":   func(e *fakeEngine) { e.stage[3] = nil },
		"another version": func(e *fakeEngine) { e.stage[3] = chunkOf(3, 3) },
	} {
		t.Run(name, func(t *testing.T) {
			topic := &memoryTopic{}
			assert.NilError(t, NewArchive(topic).Save(t.Context(), manifestOf(2)))
			e := &fakeEngine{}
			e.load(2)
			change(e)
			e.state = inheritedState
			e.state.Version = 2
			i := New(Settings{Box: "box0", Region: "r", Archive: NewArchive(topic)}, e, &fakeOrigin{down: true}, func(context.Context) ([]Peer, error) { return nil, nil }, logr.Discard(), telemetry.NewMetrics())
			load := &inheritedLoad{}
			m, err := i.archivedManifest(t.Context(), testModel, 2)
			assert.NilError(t, err)
			stage, valid := i.compareStage(t.Context(), load, m)
			assert.Assert(t, valid && stage == loadtrust.StageDiffers)
		})
	}
}

// Guards against a load that stays unused because the archive could not be read when the sidecar
// started.
func TestLoadIsTrustedOnceArchiveIsAvailable(t *testing.T) {
	topic := &memoryTopic{}
	assert.NilError(t, NewArchive(topic).Save(t.Context(), manifestOf(2)))
	topic.failing = true
	i, _ := startOnInheritedLoadOf(t, 2, Settings{Box: "box0", Region: "r", Archive: NewArchive(topic)}, &fakeOrigin{down: true})
	awaitDecision(t, i)
	assert.Assert(t, i.Unverified())
	topic.mu.Lock()
	topic.failing = false
	topic.mu.Unlock()
	for began := time.Now(); i.Unverified(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < archiveBackoffMax+3*time.Second, "the load is not trusted")
	}
}

// Guards against calls to the store that grow with the number of boxes: a few boxes archive a
// manifest, and one of them writes it.
func TestFewBoxesArchiveManifest(t *testing.T) {
	const boxes = 20
	topic := &memoryTopic{}
	c := newClusterWith(t, boxes, 2, 300*time.Millisecond, Settings{Archive: NewArchive(topic)}, engineLoadedWith(1))
	c.addTarget(2)
	c.awaitVersion(2)
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if m, err := NewArchive(topic).Manifest(t.Context(), testModel, 2); err == nil {
			assert.DeepEqual(t, m, manifestOf(2))
			break
		}
		assert.Assert(t, time.Since(began) < 10*time.Second, "the manifest is not archived")
	}
	ranked := make(map[int]int)
	for k := range boxes {
		ranked[archiveRank(c.peers, fmt.Sprint("box", k), 2)]++
	}
	for rank := range boxes {
		assert.Equal(t, ranked[rank], 1)
	}
	_, appends := topic.counts()
	assert.Assert(t, appends <= 2, "%d records were appended", appends) // of versions 1 and 2
}

// A manifest in the archive is read by the next release, too.
func TestArchivedManifestFormat(t *testing.T) {
	m := &Manifest{Model: "m", Version: 2, ChunkBytes: 3, Digests: []Digest{{1}}}
	data, err := json.Marshal(m)
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"model":"m","version":2,"chunk_bytes":3,"digests":["0100000000000000000000000000000000000000000000000000000000000000"]}`)
}
