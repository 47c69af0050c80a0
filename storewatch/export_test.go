// SPDX-License-Identifier: Apache-2.0

package storewatch

// For tests that need the platform's store, which imports this package.
var (
	RetryPause = retryPause
	PartSilent = (*Watcher).partSilent
)
