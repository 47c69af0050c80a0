// SPDX-License-Identifier: Apache-2.0

package daycheck

import (
	"fmt"
	"time"
)

// BadPart is a part of prompts that crashes each endpoint which begins to respond to it.
type BadPart struct {
	Name string
	// Crashes and Received are when endpoints crashed because of it, in the order of time, and
	// when requests with it arrived that endpoints have run.
	Crashes, Received []time.Time
}

const (
	// partCrashes is the number of crashes after which requests with a part must be
	// rejected, and partTime the time within which all gateways must know that.
	partCrashes = 5
	partTime    = 3 * time.Second
	// latePartRequests is the number of requests that may be sent to endpoints later.
	latePartRequests = 3
)

// check returns what is wrong if too many requests with the part were sent to endpoints.
func (p *BadPart) check() string {
	if len(p.Crashes) < partCrashes {
		return ""
	}
	late := 0
	for _, at := range p.Received {
		if at.Sub(p.Crashes[partCrashes-1]) > partTime {
			late++
		}
	}
	if late <= latePartRequests {
		return ""
	}
	return fmt.Sprintf("%d requests with part %s were sent to endpoints later than %s after its crash %d; it caused %d", late, p.Name, partTime, partCrashes, len(p.Crashes))
}
