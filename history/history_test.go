// SPDX-License-Identifier: Apache-2.0

package history

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPositionsAreOrderedByEraAndOffset(t *testing.T) {
	ordered := []Position{Unread, {Era: 0, Offset: 0}, {Era: 0, Offset: 900}, {Era: 1, Offset: 3}, {Era: 1, Offset: 4}, {Era: 3, Offset: 0}}
	for a, p := range ordered {
		for b, q := range ordered {
			assert.Equal(t, p.Before(q), a < b, "%v before %v", p, q)
			assert.Equal(t, Later(p, q), ordered[max(a, b)])
		}
	}
	assert.Assert(t, !Position{Era: 4, Offset: -1}.Before(Unread))
}
