// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Weights say how the weights of a service's model come. They are all that a
// sidecar needs of a configuration.
type Weights struct {
	// Version is that of the configuration.
	Version int64  `json:"config"`
	Model   string `json:"model"`
	Layers  int    `json:"layers"`
	// Chunks of ChunkBytes each.
	Chunks     int `json:"chunks"`
	ChunkBytes int `json:"chunk_bytes"`
	// Origin is the address of the origin of weights, or empty, OriginZone
	// where it is, and OriginRate its link in bytes a second, or zero.
	Origin     string  `json:"origin,omitempty"`
	OriginZone string  `json:"origin_zone,omitempty"`
	OriginRate float64 `json:"origin_rate,omitempty"`
}

// Weights returns how the weights of a service come, or false if it has
// none.
func (c *Configuration) Weights(service string) (Weights, bool) {
	s := c.Services[service]
	if s == nil || s.Engine == nil || s.Engine.Chunks == 0 {
		return Weights{}, false
	}
	out := Weights{
		Version:    c.Version,
		Model:      s.Engine.Model,
		Layers:     s.Engine.Layers,
		Chunks:     s.Engine.Chunks,
		ChunkBytes: s.Engine.ChunkBytes,
	}
	if origin := c.Origin(); origin != nil {
		out.Origin = origin.Origin
		out.OriginZone = origin.Zone
		out.OriginRate = origin.OriginRate
	}
	return out, true
}

// Sum is a checksum of all but Version, by which a gateway sees whether a
// sidecar knows the same. It is never 0.
func (w Weights) Sum() uint32 {
	w.Version = 0
	return uint32(xxhash.Sum64String(fmt.Sprintf("%+v", w))) | 1
}
