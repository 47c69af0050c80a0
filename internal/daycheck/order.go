// SPDX-License-Identifier: Apache-2.0

package daycheck

import "fmt"

// Order returns what is wrong with the events of a stream: each must come once and in
// order, and a stream that ends as complete must have all.
func Order(q *Request) string {
	for n, id := range q.Got {
		if id != n+1 {
			return fmt.Sprintf("event %d in the place of event %d", id, n+1)
		}
	}
	if q.Served() && len(q.Got) != q.Events {
		return fmt.Sprintf("complete after %d of %d events", len(q.Got), q.Events)
	}
	return ""
}
