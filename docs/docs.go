// SPDX-License-Identifier: Apache-2.0

// Package docs holds the data behind mintlift's pages: the measurements that
// docs/CAPACITY.md and docs/TRANSFER.md are made from.
package docs

import "embed"

// Capacity is docs/capacity.json.
//
//go:embed capacity.json
var Capacity []byte

// Transfer is docs/transfer.json.
//
//go:embed transfer.json
var Transfer []byte

// Sweeps are the reports of docs/sweeps, NAME.txt for the deployment NAME.
//
//go:embed sweeps/*.txt
var Sweeps embed.FS
