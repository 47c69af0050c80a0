// SPDX-License-Identifier: Apache-2.0

package routing

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// WeightsConfig holds the parameters for fetching the weights of a service's model. It
// is the only part of a Configuration that sidecars need.
type WeightsConfig struct {
	// Version is the version of the configuration.
	Version int64  `json:"config"`
	Model   string `json:"model"`
	Layers  int    `json:"layers"`
	// Chunks is the number of chunks of the weights, and ChunkBytes the size of each in
	// bytes.
	Chunks     int `json:"chunks"`
	ChunkBytes int `json:"chunk_bytes"`
	// Origin is the address of the origin server of weights, or empty if there is none.
	// OriginZone is its availability zone. OriginRate is the bandwidth of its link in
	// bytes a second, or zero if unknown.
	Origin     string  `json:"origin,omitempty"`
	OriginZone string  `json:"origin_zone,omitempty"`
	OriginRate float64 `json:"origin_rate,omitempty"`
}

// Weights returns the WeightsConfig of a service. It returns false if the service has
// no engines, or their weights are not divided into chunks.
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

// Checksum returns a checksum of all fields except Version. A gateway compares it with
// the one that a sidecar reports, to detect whether the sidecar has the same values. It
// is never 0. It depends on the names and the order of the fields, so these must not
// change as long as processes of different releases run together.
func (w WeightsConfig) Checksum() uint32 {
	w.Version = 0
	return uint32(xxhash.Sum64String(fmt.Sprintf("%+v", w))) | 1
}
