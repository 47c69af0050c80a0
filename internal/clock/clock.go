// SPDX-License-Identifier: Apache-2.0

// Package clock waits.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends if that is sooner.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
