// SPDX-License-Identifier: Apache-2.0

// Package layerset determines which version of a model an engine holds completely, from the
// ranges of layers that the engine reports.
package layerset

import "github.com/bits-and-blooms/bitset"

// Part is the layers From to To-1, which are of Version.
type Part struct{ From, To, Version int }

// maxLayers bounds the layers of a model whose number of layers is unknown.
const maxLayers = 4096

// Complete returns the version of which all layers are among parts, or 0 if there is none.
// layers is the number of layers of the model. If that is 0, it is unknown, and a version is
// complete only if all parts are of it. If several versions are complete, the result is
// named, the version that the engine calls its own, or 0 if that is not among them.
func Complete(named int, parts []Part, layers int) int {
	end := layers
	if end <= 0 {
		end = maxLayers
	}
	held := make(map[int]*bitset.BitSet)
	for _, p := range parts {
		if held[p.Version] == nil {
			held[p.Version] = bitset.New(uint(min(end, maxLayers)))
		}
		for layer := max(p.From, 0); layer < min(p.To, end); layer++ {
			held[p.Version].Set(uint(layer))
		}
	}
	if layers <= 0 && len(held) > 1 {
		return 0
	}
	complete := 0
	for version, set := range held {
		switch {
		case set.Count() < uint(max(layers, 1)):
		case version == named:
			return named
		case complete != 0:
			complete = -1 // several, of which none is known to be in use
		default:
			complete = version
		}
	}
	return max(complete, 0)
}
