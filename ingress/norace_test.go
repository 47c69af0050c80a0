// SPDX-License-Identifier: Apache-2.0

//go:build !race

package ingress

// raceDetector reports that the race detector is on. It multiplies the memory of a process.
const raceDetector = false
