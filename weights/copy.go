// SPDX-License-Identifier: Apache-2.0

package weights

import (
	"github.com/bits-and-blooms/bitset"
	"github.com/juju/errors"
)

// CopyState is how far a box has come with its copy of a version.
type CopyState string

// The states of a copy, in the order in which a copy goes through them.
const (
	Absent   CopyState = "absent"
	Fetching CopyState = "fetching"
	Verified CopyState = "verified"
	Loading  CopyState = "loading"
	Serving  CopyState = "serving"
	Draining CopyState = "draining"
)

// Copy is one box's copy of one version. Its methods refuse every move that
// the states do not allow; it is not safe for concurrent use.
type Copy struct {
	manifest *Manifest
	state    CopyState
	held     *bitset.BitSet
	fence    int64
}

// NewCopy returns an absent copy of the version that m describes.
func NewCopy(m *Manifest) *Copy {
	return &Copy{manifest: m, state: Absent, held: bitset.New(uint(len(m.Chunks)))}
}

// Manifest returns the copy's manifest.
func (c *Copy) Manifest() *Manifest { return c.manifest }

// State returns the copy's state.
func (c *Copy) State() CopyState { return c.state }

// Held returns a snapshot of the verified chunks.
func (c *Copy) Held() *bitset.BitSet { return c.held.Clone() }

// Count returns the number of verified chunks.
func (c *Copy) Count() int { return int(c.held.Count()) }

// Fetch starts collecting chunks.
func (c *Copy) Fetch() error { return c.move(Absent, Fetching) }

// Accept takes chunk i after checking b against the manifest. It returns
// ErrBadChunk and changes nothing if b is not that chunk. The last chunk
// makes the copy Verified.
func (c *Copy) Accept(i int, b []byte) error { return c.AcceptSum(i, int64(len(b)), Sum(b)) }

// Load starts loading under fence, the offset of the record that orders it.
func (c *Copy) Load(fence int64) error {
	if err := c.move(Verified, Loading); err != nil {
		return err
	}
	c.fence = fence
	return nil
}

// LoadFailed puts a copy whose load did not take effect back to Verified.
func (c *Copy) LoadFailed() error { return c.move(Loading, Verified) }

// Serve admits requests. A copy serves only after a load.
func (c *Copy) Serve() error { return c.move(Loading, Serving) }

// Adopt marks a copy as serving that the engine reports as loaded whole
// already, for a sidecar that started again beside a running engine.
func (c *Copy) Adopt(fence int64) error {
	if err := c.move(Absent, Serving); err != nil {
		return err
	}
	c.held.FlipRange(0, uint(len(c.manifest.Chunks)))
	c.fence = fence
	return nil
}

// Drain stops admission; requests in progress end.
func (c *Copy) Drain() error { return c.move(Serving, Draining) }

// Resume takes a draining copy back into service, after a roll back.
func (c *Copy) Resume() error { return c.move(Draining, Serving) }

// Unload returns a drained copy to Verified: its chunks stay in staging and
// can be passed on, but it serves nothing.
func (c *Copy) Unload() error { return c.move(Draining, Verified) }

// Drop forgets the copy. A copy that serves or loads cannot be dropped.
func (c *Copy) Drop() error {
	if c.state == Serving || c.state == Loading || c.state == Draining {
		return errors.WithType(errors.Errorf("drop of %s while %s", c.manifest.Ref, c.state), ErrBadMove)
	}
	c.state = Absent
	c.held.ClearAll()
	return nil
}

func (c *Copy) move(from, to CopyState) error {
	if c.state != from {
		return errors.WithType(errors.Errorf("%s: %s to %s", c.manifest.Ref, c.state, to), ErrBadMove)
	}
	c.state = to
	return nil
}

// AcceptSum is Accept for a chunk that has been streamed through a Hasher:
// size and sum are what came out of it.
func (c *Copy) AcceptSum(i int, size int64, sum Digest) error {
	if c.state != Fetching {
		return errors.WithType(errors.Errorf("chunk %d of %s while %s", i, c.manifest.Ref, c.state), ErrBadMove)
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
