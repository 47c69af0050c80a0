// SPDX-License-Identifier: Apache-2.0

package installer

import (
	"context"
	"slices"
	"time"

	"github.com/mintlift/mintlift/internal/clock"
)

// What an engine tells of its version is what it was told when it took a start.
// Whether its weights are of that version it does not know. Gateways send
// requests only to a version that the sidecar vouches for: the engine came with
// it, the sidecar found it there when it began itself, or it has checked what
// lay ready after the engine had taken it. Any other one, as from a start of an
// earlier sidecar that is taken late, counts as if the engine held nothing, and
// is loaded anew.

// loading names what an engine took with one order.
type loading struct {
	born, orders int64
}

func loadingOf(s EngineState) loading { return loading{s.Born, s.Orders} }

// holds is the version that the engine holds and that is vouched for, or 0.
// Installer.mu is held.
func (i *Installer) holds() int {
	if i.doubted() {
		return 0
	}
	return i.state.Version
}

// doubted reports whether the engine tells a version that nobody vouches for.
// Installer.mu is held.
func (i *Installer) doubted() bool {
	return i.state.Version != 0 && i.state.Orders != 0 && i.vouched != loadingOf(i.state)
}

// Doubted reports whether the engine tells a version that nobody vouches for, so
// that it must get no requests.
func (i *Installer) Doubted() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.doubted()
}

// expect notes that the engine, which tells state, is sent a start.
func (i *Installer) expect(state EngineState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expected = loading{state.Born, state.Orders + 1}
}

// awaited reports whether state shows the start that was sent last as taken.
func (i *Installer) awaited(state EngineState) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.expected == loadingOf(state)
}

// vouch checks all chunks that lie ready after the engine, which tells state,
// has taken the version of s, and vouches for it if they fit; staging is held.
func (i *Installer) vouch(ctx context.Context, s *step, state EngineState) bool {
	m := s.copy.manifest
	began := clock.Now()
	for n := range s.copy.chunks {
		lying, err := i.readAgain(ctx, m.Model, n)
		if err == nil && m.Fits(n, lying) {
			continue
		}
		i.log.Info("version not vouched for", "version", m.Version, "chunk", n, "orders", state.Orders, "error", errorText(err))
		i.metrics.Counter("mintlift_installer_doubted_total").Inc()
		return false
	}
	i.log.Info("version vouched for", "version", m.Version, "orders", state.Orders, "ms", clock.Since(began).Milliseconds())
	i.mu.Lock()
	i.vouched = loadingOf(state)
	i.wakeLocked()
	i.mu.Unlock()
	i.hearOf(ctx, state)
	return true
}

// vouchReads is how often a chunk is asked for: an answer that is lost says nothing
// of it, and to load a version by way of another takes seconds.
const vouchReads = 3

// readAgain reads a chunk that lies ready.
func (i *Installer) readAgain(ctx context.Context, model string, n int) (data []byte, err error) {
	for range vouchReads {
		data, err = i.engine.Get(ctx, model, n)
		if err == nil || ctx.Err() != nil {
			break
		}
		clock.Sleep(ctx, settlePause)
	}
	return data, err
}

// hearOf waits until the engine's report shows state, so that what is decided
// next is decided by it.
func (i *Installer) hearOf(ctx context.Context, state EngineState) {
	for began := clock.Now(); ctx.Err() == nil && clock.Since(began) < hearWait; {
		i.mu.Lock()
		shown, change := loadingOf(i.state) == loadingOf(state) && i.state.Version == state.Version, i.change
		i.mu.Unlock()
		if shown {
			return
		}
		select {
		case <-change:
		case <-time.After(hearWait):
		case <-ctx.Done():
		}
	}
}

// hearWait is several times the pause between two reports.
const hearWait = 500 * time.Millisecond

// other returns a whole copy of another version than the one that the engine
// tells, the newest if there are several, or nil. An engine takes no version
// that it says it holds, so one that nobody vouches for is left by way of another.
// Installer.mu is held.
func (i *Installer) other() *replica {
	var newest *replica
	for _, r := range i.copies {
		if r.whole() && r.manifest.Version != i.state.Version && (newest == nil || r.manifest.Version > newest.manifest.Version) {
			newest = r
		}
	}
	return newest
}

// detour is the version to be fetched for an engine that tells the newest one
// and is doubted, while no copy of another is here; 0 if none is needed. It is
// the one before: the origin keeps that. Installer.mu is held.
func (i *Installer) detour() int {
	newest := i.newest().version
	if !i.doubted() || i.state.Busy || i.state.Version != newest || i.other() != nil {
		return 0
	}
	if len(i.targets) > 1 {
		return i.targets[len(i.targets)-2].version
	}
	return newest - 1
}

// logLying logs of which versions chunks lie ready beside the engine, as far as
// this box has copies of them: an engine that takes an order late takes these.
func (i *Installer) logLying(ctx context.Context, model string, version int) {
	i.mu.Lock()
	copies := slices.Clone(i.copies)
	chunks := i.params.Chunks
	i.mu.Unlock()
	versions := make(map[int]int)
	other, missing := 0, 0
	for n := range chunks {
		data, err := i.engine.Get(ctx, model, n)
		if err != nil {
			i.log.Info("chunk lying ready not read", "version", version, "chunk", n, "error", err.Error())
			return
		}
		at := slices.IndexFunc(copies, func(r *replica) bool { return r.manifest.Fits(n, data) })
		switch {
		case data == nil:
			missing++
		case at < 0:
			other++
		default:
			versions[copies[at].manifest.Version]++
		}
	}
	i.log.Info("chunks lying ready", "engine_version", version, "of_versions", versions, "of_others", other, "missing", missing)
}

// Heard takes the engine's state.
func (i *Installer) Heard(s EngineState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	old, first := i.state, i.heard.IsZero()
	i.state = s
	i.heard = clock.Now()
	if first {
		i.vouched = loadingOf(s) // a sidecar lays nothing else while a start may be taken
	}
	if first || old.Version != s.Version || old.Busy != s.Busy || old.Orders != s.Orders || old.Born != s.Born {
		i.log.Info("engine changed", "model", s.Model, "version", s.Version, "was", old.Version, "busy", s.Busy, "orders", s.Orders, "born", s.Born,
			"vouched", !i.doubted())
		i.wakeLocked()
	}
	if !first && s.Orders > old.Orders && i.expected != loadingOf(s) {
		i.log.Info("engine took an order that nobody waits for", "orders", s.Orders, "was", old.Version, "busy", s.Busy)
		go i.logLying(context.Background(), i.params.Model, s.Version)
	}
}
