// SPDX-License-Identifier: Apache-2.0

// Package docs embeds the measurements from which docs/CAPACITY.md and
// docs/TRANSFER.md are generated.
package docs

import "embed"

// Capacity is the content of docs/capacity.json.
//
//go:embed capacity.json
var Capacity []byte

// Transfer is the content of docs/transfer.json.
//
//go:embed transfer.json
var Transfer []byte

// Sweeps contains the reports of docs/sweeps: sweeps/NAME.txt for the deployment
// NAME.
//
//go:embed sweeps/*.txt
var Sweeps embed.FS
