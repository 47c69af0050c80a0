// SPDX-License-Identifier: Apache-2.0

package main

import "github.com/mintlift/mintlift/slotgrant"

func (discardReports) HandleSlotGrant(slotgrant.Grant) {}
