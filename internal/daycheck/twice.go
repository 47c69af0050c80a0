// SPDX-License-Identifier: Apache-2.0

package daycheck

import "fmt"

// Twice returns what is wrong if a request that must not run more than once did.
func Twice(q *Request, runs []*Run) string {
	if n := ran(runs); !q.Repeatable && n > 1 {
		return fmt.Sprintf("ran %d times", n)
	}
	return ""
}

// ran returns the number of runs that were not refused.
func ran(runs []*Run) int {
	n := 0
	for _, r := range runs {
		if r.End != NotRun {
			n++
		}
	}
	return n
}
