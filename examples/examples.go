// SPDX-License-Identifier: Apache-2.0

// Package examples embeds a settings file for each role of two example
// deployments.
package examples

import "embed"

// Files contains the examples, named DEPLOYMENT-ROLE.json.
//
//go:embed *.json
var Files embed.FS
