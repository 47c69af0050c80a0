// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// WeightsConfig describes how the weights of a service's model are obtained. It is
// the only part of a configuration that sidecars need.
type WeightsConfig struct {
	// Version is the version of the configuration.
	Version int64  `json:"config"`
	Model   string `json:"model"`
	Layers  int    `json:"layers"`
	// Chunks is the number of chunks, of ChunkBytes bytes each.
	Chunks     int `json:"chunks"`
	ChunkBytes int `json:"chunk_bytes"`
	// Origin is the address of the origin server of weights, or empty. OriginZone is
	// its availability zone and OriginRate the bandwidth of its link in bytes a
	// second, or zero.
	Origin     string  `json:"origin,omitempty"`
	OriginZone string  `json:"origin_zone,omitempty"`
	OriginRate float64 `json:"origin_rate,omitempty"`
}

// Weights returns the WeightsConfig of a service, or false if its configuration has no
// weights.
func (c *Configuration) Weights(service string) (WeightsConfig, bool) {
	s := c.Services[service]
	if s == nil || s.Engine == nil || s.Engine.Chunks == 0 {
		return WeightsConfig{}, false
	}
	out := WeightsConfig{
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

// Checksum returns a checksum of all fields but Version, which shows a gateway whether
// a sidecar has the same values. It is never 0. It covers the names and the order of the
// fields, which therefore must not change while releases are mixed.
func (w WeightsConfig) Checksum() uint32 {
	w.Version = 0
	return uint32(xxhash.Sum64String(fmt.Sprintf("%+v", w))) | 1
}
