// SPDX-License-Identifier: Apache-2.0

// Package quarantine tells requests apart by what they ask for, whatever id
// their callers give them.
package quarantine
