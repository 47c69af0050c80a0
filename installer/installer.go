// SPDX-License-Identifier: Apache-2.0

// Package installer updates the engine on a sidecar's box to the newest target
// version. A target version is a version of the model that the operator has set to
// be served; log lines call it named.
//
// Every sidecar plans its own updates from the same records, without a
// coordinator. It fetches the version's chunks from the origin and from other
// sidecars by the rules of package transfer. It stages the chunks: it has the
// engine store them, next to the version that is loaded. It then verifies the staged
// chunks and orders the engine to load them. Each engine has a slot in the rollout of a
// version, the time at which its update starts, so that the others serve meanwhile.
//
// Installer.mu guards all state; it is never held during a call to another
// process. Installer.stagingMu guards the staged chunks.
package installer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/bits-and-blooms/bitset"
	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/backpressure"
	"github.com/mintlift/mintlift/fetchplan"
	"github.com/mintlift/mintlift/internal/network"
	"github.com/mintlift/mintlift/loadtrust"
	"github.com/mintlift/mintlift/telemetry"
	"github.com/mintlift/mintlift/transfer"
)

// Digest is the SHA-256 of a chunk.
type Digest [sha256.Size]byte

// MarshalText encodes the digest in hex, which is shorter than a JSON array of
// numbers.
func (d Digest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText decodes a digest in hex.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return errors.NotValidf("digest %q", text)
	}
	_, err := hex.Decode(d[:], text)
	return errors.Trace(err)
}

// Manifest lists the digests of a version's chunks.
type Manifest struct {
	Model      string   `json:"model"`
	Version    int      `json:"version"`
	ChunkBytes int      `json:"chunk_bytes"`
	Digests    []Digest `json:"digests"`
}

// ChunkMatches reports whether data matches the digest of chunk n. It is false
// for an n out of range.
func (m *Manifest) ChunkMatches(n int, data []byte) bool {
	return n >= 0 && n < len(m.Digests) && sha256.Sum256(data) == m.Digests[n]
}

// EngineState is the state that the engine reports.
type EngineState struct {
	Model string
	// Version is the version that the engine has loaded completely, or 0.
	Version int
	// Busy is set while the engine executes an order, such as a Start.
	Busy bool
	// Orders is the number of orders that the engine has accepted.
	Orders int64
	// Queued and Running are the numbers of requests that the engine has queued and
	// runs.
	Queued  int
	Running int
	// Pace is how many times slower than normal the engine works; values below 1
	// count as 1.
	Pace float64
	// StartedMS is when the engine's process started, in Unix milliseconds, or 0
	// if the engine does not report it.
	StartedMS int64
	// Signal is the backpressure signal that came with the engine's report.
	Signal backpressure.Signal
}

// Engine is the model engine on the sidecar's box.
type Engine interface {
	// State reads the engine's state.
	State(ctx context.Context) (EngineState, error)
	// Put stages a chunk.
	Put(ctx context.Context, model string, chunk int, data []byte) error
	// Get returns a staged chunk, or nil if the chunk is not staged.
	Get(ctx context.Context, model string, chunk int) ([]byte, error)
	// Start commands the engine to load the staged chunks. Unless the outcome is
	// Accepted, the error is the reason.
	Start(ctx context.Context, s Start) (Outcome, error)
}

// Origin is the source of model weights.
type Origin interface {
	// Manifest returns the manifest of a version.
	Manifest(ctx context.Context, model string, version int) (*Manifest, error)
	// Chunk returns the content of a chunk, which may not match its digest.
	Chunk(ctx context.Context, model string, version, chunk int) ([]byte, error)
}

// Peer is a sidecar of the service.
type Peer struct {
	// Box is the IP address of the sidecar's box, which identifies the sidecar.
	Box string
	// Address is the IP:PORT at which the sidecar serves Installer.Handler.
	Address string
	Region  string
	Zone    string
	// Draining is set while the endpoint on the sidecar's box is being drained.
	Draining bool
}

// Params describe the service's model and its rollouts.
type Params struct {
	Model      string
	Chunks     int
	ChunkBytes int
	// OriginRate is the rate of the origin's link in bytes a second, or 0 if
	// unknown.
	OriginRate float64
	// OriginRegion is the region that the origin is in.
	OriginRegion string
	// Deadline is the time within which all engines must serve a new target version,
	// counted from when the operator set it.
	Deadline time.Duration
	// CutoffMargin is the time from the routing cutoff of a target version to its
	// deadline, as gateways use it; 0 for the usual time, routingCutoffMargin.
	CutoffMargin time.Duration
}

// Settings identify the box of an Installer.
type Settings struct {
	Box    string
	Region string
	Zone   string
	// LinkRate is the rate of the box's link in bytes a second, or 0 if unknown.
	LinkRate float64
	// Network opens the connections to other sidecars; nil stands for the operating
	// system's.
	Network network.Network
	// LoadMemories returns what gateways remember of the engine, to be called while the
	// engine has a load that this process has not verified; may be nil.
	LoadMemories func(ctx context.Context) []loadtrust.Memory
	// Archive keeps manifests of complete versions; may be nil.
	Archive *Archive
}

// Installer fetches target versions and loads them into the engine of one sidecar.
// It does nothing until Run is called.
type Installer struct {
	settings Settings
	engine   Engine
	origin   Origin
	// peers reads the list of the service's sidecars, this one included.
	peers  func(ctx context.Context) ([]Peer, error)
	client *peerClient
	// upPacer and downPacer keep the uploads and downloads of chunks below the rate
	// of the box's link.
	upPacer, downPacer *pacer
	// manifestHopTimeout is the constant manifestHopTimeout, unless a test overrides
	// it.
	manifestHopTimeout time.Duration
	log                logr.Logger
	metrics            *telemetry.Metrics

	// stagingMu guards the staged chunks and stagedAt. It is locked before mu.
	stagingMu callLock
	stagedAt  time.Time // when this process last staged a chunk; zero if it has not

	mu            sync.Mutex
	params        Params
	targets       []target // in ascending order of version
	engineState   EngineState
	engineStateAt time.Time // when engineState was reported; zero before the first report
	draining      bool      // the engine is being drained for an update
	// expectedLoad identifies the load that results if the engine accepts the last
	// load command (Start). verifiedLoad identifies the last load that counts as
	// verified.
	expectedLoad, verifiedLoad loadID
	verifiedAt                 time.Time // when this process last verified a load
	// inherited is the load that was found when this process, or possibly the engine's,
	// started; nil if there is none or it is trusted. loadManifest is the manifest of
	// its version, if it was fetched without a replica.
	inherited    *inheritedLoad
	loadManifest *Manifest
	// archiveReads holds the versions whose last read from the archive has failed.
	archiveReads map[int]archiveState
	// noWeights is set if the service's configuration has no weights, so that nothing
	// orders the engine to load a version.
	noWeights bool
	// updateScheduled is set while an update of the engine with a preceding drain is
	// planned or in progress.
	updateScheduled bool
	replicas        []*replica
	// plan is the fetch plan as last computed.
	plan fetchplan.Plan
	// expected is the result of the last servesAt, and updating the update in progress.
	expected   expectation
	updating   update
	peerList   []Peer    // the sidecar list as last read
	peerListAt time.Time // when peerList was read
	// peersMissingSince is when the list could first not be read; zero if it could.
	peersMissingSince time.Time
	// changed is closed and replaced when the state has changed, to wake the
	// goroutines that wait for a change.
	changed chan struct{}
}

// target is a target version: a version that the operator has set to be served.
type target struct {
	version int
	setAt   time.Time // zero if unknown
	// ageUnknown is set if setAt is not the time at which the operator set the version,
	// but either the time at which this process first received it, or an assumed time
	// whose deadline has passed.
	ageUnknown bool
}

// maxTargets is the maximum number of target versions, set by the operator, that an
// Installer remembers.
const maxTargets = 3

// replica is this box's copy of a version, complete or not.
type replica struct {
	manifest *Manifest
	chunks   [][]byte
	held     *bitset.BitSet
	// chunkArrived is closed and replaced when a chunk arrives.
	chunkArrived chan struct{}
	// completedAt is when the last chunk arrived.
	completedAt time.Time
	// swarm schedules the pulls of the current fetch. It is nil until the first fetch
	// starts.
	swarm *transfer.Swarm
	// pulls is the number of pulls in flight.
	pulls int
	// askPartners is set until other boxes have been asked which chunks they hold, if the
	// replica has been opened for the plan only.
	askPartners bool
	// addresses maps the boxes of the swarm to their installers' addresses.
	addresses map[string]string
	// picker selects the chunks to send to peers.
	picker *transfer.Picker
	// mismatches counts received chunks that did not match their digests. rejected holds
	// the digest of the last such content of each chunk.
	mismatches int
	rejected   map[int]Digest
	// nextManifestReview is when the manifest may next be compared with another copy.
	nextManifestReview time.Time
	// archive is the progress of archiving the manifest, if this box is an archivist.
	archive archiveState
	// fromPeers, fromRemoteRegion and fromOrigin count the chunks received from boxes
	// of this region, from boxes of other regions and from the origin.
	fromPeers        int
	fromRemoteRegion int
	fromOrigin       int
}

// New returns an Installer; peers reads the list of the service's sidecars.
func New(s Settings, e Engine, o Origin, peers func(context.Context) ([]Peer, error), log logr.Logger, m *telemetry.Metrics) *Installer {
	down := newPacer(s.LinkRate)
	return &Installer{
		settings: s, engine: e, origin: o, peers: peers, log: log, metrics: m,
		client: newPeerClient(network.OrSystem(s.Network), down), upPacer: newPacer(s.LinkRate), downPacer: down, manifestHopTimeout: manifestHopTimeout,
		stagingMu: newCallLock(), changed: make(chan struct{}), archiveReads: make(map[int]archiveState),
	}
}

// Configure sets the parameters of the service.
func (i *Installer) Configure(p Params) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.params == p {
		return
	}
	i.params = p
	i.notifyLocked()
}

// SetNoWeights sets whether the service's configuration has no weights. Configure
// overrides it.
func (i *Installer) SetNoWeights(none bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noWeights = none
}

// unmanaged reports whether no sidecar loads the service's engines. Each load is then the
// engine's own, and nothing is verified. Installer.mu is held.
func (i *Installer) unmanaged() bool { return i.noWeights && i.params.Chunks == 0 }

// AddTarget records that the operator has set a version of the model to be served.
// setAt is when, or zero if unknown. If several calls give different times, the
// earliest is used.
func (i *Installer) AddTarget(model string, version int, setAt time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.addTargetLocked(model, target{version: version, setAt: setAt})
}

// overdueGrace is how long a sidecar waits for a report of a target version's age
// before it accepts reports that the version is overdue. A gateway that started
// during the rollout also reports the version as overdue, although it may not be.
const overdueGrace = 1200 * time.Millisecond

// AddTargetOfUnknownAge records a target version for which the reporting gateway has
// no time at which it was set. overdue is set if that gateway has seen the version
// served and routes to no older version. If overdue is still reported after
// overdueGrace and no gateway has reported the age, the version's deadline counts as
// passed. Its update then starts at once instead of at the engine's time in the
// rollout, as the engine gets no requests until it is updated.
func (i *Installer) AddTargetOfUnknownAge(model string, version int, overdue bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.addTargetLocked(model, target{version: version, setAt: now, ageUnknown: true})
	for at := range i.targets {
		t := &i.targets[at]
		if t.version != version || !t.ageUnknown || !overdue || now.Sub(t.setAt) < overdueGrace || now.Sub(t.setAt) >= i.params.Deadline {
			continue
		}
		t.setAt = now.Add(-i.params.Deadline)
		i.log.Info("version overdue", "version", version)
		i.notifyLocked()
	}
}

// addTargetLocked merges a gateway's report that the operator has set a version to be
// served into the targets.
// Installer.mu is held. Reports of another model are ignored. A version that is not
// newer than the newest target is not added, but the report may update the time of a
// target.
func (i *Installer) addTargetLocked(model string, reported target) {
	if i.params.Model != "" && model != i.params.Model {
		return
	}
	for at := range i.targets {
		if t := &i.targets[at]; t.version == reported.version && t.update(reported) {
			i.notifyLocked()
		}
	}
	if reported.version <= i.newestTarget().version {
		return
	}
	i.targets = append(i.targets, reported)
	if len(i.targets) > maxTargets {
		i.targets = i.targets[1:]
	}
	i.log.Info("version named", "model", model, "version", reported.version, "age_unknown", reported.setAt.IsZero() || reported.ageUnknown)
	i.notifyLocked()
}

// setTimeTolerance is the difference within which two gateways' reports of when a
// target version was set count as the same time.
const setTimeTolerance = 100 * time.Millisecond

// update merges another report of the same version into t and returns whether t
// changed. A known time replaces an assumed one, and an earlier time a later one.
func (t *target) update(reported target) bool {
	switch {
	case reported.setAt.IsZero(), reported.ageUnknown && !t.setAt.IsZero():
		return false
	case t.ageUnknown:
		// The known time replaces the assumed one below, even if it is later.
		t.ageUnknown = false
	case !t.setAt.IsZero() && reported.setAt.After(t.setAt.Add(-setTimeTolerance)):
		return false
	}
	t.setAt, t.ageUnknown = reported.setAt, reported.ageUnknown
	return true
}

// newestTarget returns the newest target version. Without targets it is version 1,
// the initial version, which the operator never sets. Installer.mu is held.
func (i *Installer) newestTarget() target {
	if len(i.targets) == 0 {
		return target{version: 1}
	}
	return i.targets[len(i.targets)-1]
}

// notifyLocked wakes the goroutines that wait for a change; Installer.mu is held.
func (i *Installer) notifyLocked() {
	close(i.changed)
	i.changed = make(chan struct{})
}

// State returns the last state that the engine reported, and the time of that report.
func (i *Installer) State() (EngineState, time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.engineState, i.engineStateAt
}

// UpdatePending reports whether the engine has a version loaded and the newest target
// version is newer than the engine's verified version.
func (i *Installer) UpdatePending() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.engineState.Version > 0 && i.verifiedVersion() < i.newestTarget().version
}
