// SPDX-License-Identifier: Apache-2.0

// Package examples holds a settings file for each process of the two
// deployments that mintlift was built for.
package examples

import "embed"

// Files are the examples, named DEPLOYMENT-ROLE.json.
//
//go:embed *.json
var Files embed.FS
