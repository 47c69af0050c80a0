// SPDX-License-Identifier: Apache-2.0

package daycheck

import (
	"fmt"
	"net/http"
	"slices"
)

// NotRunStatuses are the statuses of a response that says that the request has not run and
// never will.
var NotRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// Refused returns what is wrong if a request that must not run more than once was answered
// as not run, but ran.
func Refused(q *Request, runs []*Run) string {
	if n := ran(runs); !q.Repeatable && n > 0 && slices.Contains(NotRunStatuses, q.Status) {
		return fmt.Sprintf("answered with status %d, but ran %d times", q.Status, n)
	}
	return ""
}
