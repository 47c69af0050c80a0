// SPDX-License-Identifier: Apache-2.0

package storewatch

// Exported for tests in storewatch_test, which import package platform; that
// package imports this one.
var (
	RetryDelay        = retryDelay
	TopicUnresponsive = (*Watcher).topicUnresponsive
	HistoryLength     = historyLength
)
