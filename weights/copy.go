// SPDX-License-Identifier: Apache-2.0

package weights

import (
	"github.com/bits-and-blooms/bitset"
	"github.com/juju/errors"
)

// CopyState is the state of a box's copy of a version.
type CopyState string

// The states of a copy, in the order in which a copy goes through them.
const (
	// Absent: the box holds no chunks of the version and fetches none.
	Absent CopyState = "absent"
	// Fetching: chunks are being fetched and verified.
	Fetching CopyState = "fetching"
	// Verified: all chunks are held and verified; the engine has not loaded
	// them.
	Verified CopyState = "verified"
	// Loading: the engine is loading the version.
	Loading CopyState = "loading"
	// Serving: requests are admitted.
	Serving CopyState = "serving"
	// Draining: no requests are admitted; those in progress may complete.
	Draining CopyState = "draining"
)

// Copy is the state machine of one box's copy of one version. Its methods
// return ErrInvalidTransition if the current state does not allow the call. It
// is not safe for concurrent use.
type Copy struct {
	manifest *Manifest
	state    CopyState
	held     *bitset.BitSet // verified chunks
	fence    int64          // fencing token of the last load
}

// NewCopy returns an absent copy of the version that m describes.
func NewCopy(m *Manifest) *Copy {
	return &Copy{manifest: m, state: Absent, held: bitset.New(uint(len(m.Chunks)))}
}

// Manifest returns the manifest of the version, which the copy shares.
func (c *Copy) Manifest() *Manifest { return c.manifest }

func (c *Copy) State() CopyState { return c.state }

// Held returns a snapshot of the verified chunks.
func (c *Copy) Held() *bitset.BitSet { return c.held.Clone() }

// Count returns the number of verified chunks.
func (c *Copy) Count() int { return int(c.held.Count()) }

// Fetch moves an absent copy to Fetching.
func (c *Copy) Fetch() error { return c.transition(Absent, Fetching) }

// Accept marks chunk i as held if b matches the manifest; otherwise it returns
// ErrChunkMismatch and changes nothing. The last missing chunk moves the copy to
// Verified.
func (c *Copy) Accept(i int, b []byte) error { return c.AcceptSum(i, int64(len(b)), Sum(b)) }

// Load moves a verified copy to Loading. fence is the fencing token of the load:
// the offset of the log record that ordered it.
func (c *Copy) Load(fence int64) error {
	if err := c.transition(Verified, Loading); err != nil {
		return err
	}
	c.fence = fence
	return nil
}

// LoadFailed moves a copy from Loading back to Verified, after a load that failed.
func (c *Copy) LoadFailed() error { return c.transition(Loading, Verified) }

// Serve moves a loaded copy from Loading to Serving.
func (c *Copy) Serve() error { return c.transition(Loading, Serving) }

// Adopt moves an absent copy to Serving and marks all chunks as held. It is for a
// sidecar that has restarted while its engine kept running and reports the version
// as completely loaded.
func (c *Copy) Adopt(fence int64) error {
	if err := c.transition(Absent, Serving); err != nil {
		return err
	}
	c.held.FlipRange(0, uint(len(c.manifest.Chunks)))
	c.fence = fence
	return nil
}

// Drain moves a copy from Serving to Draining.
func (c *Copy) Drain() error { return c.transition(Serving, Draining) }

// Resume moves a copy from Draining back to Serving, after a rollback.
func (c *Copy) Resume() error { return c.transition(Draining, Serving) }

// Unload moves a copy from Draining back to Verified. Its chunks are kept and still
// sent to peers.
func (c *Copy) Unload() error { return c.transition(Draining, Verified) }

// Drop makes the copy Absent and clears its chunks. A copy that is Loading,
// Serving or Draining cannot be dropped.
func (c *Copy) Drop() error {
	if c.state == Serving || c.state == Loading || c.state == Draining {
		return errors.WithType(errors.Errorf("drop of %s while %s", c.manifest.Ref, c.state), ErrInvalidTransition)
	}
	c.state = Absent
	c.held.ClearAll()
	return nil
}

// transition moves the copy from one state to another. It returns
// ErrInvalidTransition if the copy is not in state from.
func (c *Copy) transition(from, to CopyState) error {
	if c.state != from {
		return errors.WithType(errors.Errorf("%s: %s to %s", c.manifest.Ref, c.state, to), ErrInvalidTransition)
	}
	c.state = to
	return nil
}

// AcceptSum is like Accept for a chunk that was streamed through a Hasher: size
// and sum are the bytes that the Hasher counted and their digest.
func (c *Copy) AcceptSum(i int, size int64, sum Digest) error {
	if c.state != Fetching {
		return errors.WithType(errors.Errorf("chunk %d of %s while %s", i, c.manifest.Ref, c.state), ErrInvalidTransition)
	}
	if err := c.manifest.CheckSum(i, size, sum); err != nil {
		return err
	}
	c.held.Set(uint(i))
	if c.held.All() {
		c.state = Verified
	}
	return nil
}
