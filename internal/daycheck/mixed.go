// SPDX-License-Identifier: Apache-2.0

package daycheck

import "fmt"

// Mixed returns what is wrong with the body of a plain response: one that looks complete must
// be the whole of what the endpoint sends. Order checks streams.
func Mixed(q *Request) string {
	if q.Events > 0 || !q.Served() || q.Body == q.Want {
		return ""
	}
	return fmt.Sprintf("complete with the body %q in the place of %q", q.Body, q.Want)
}
