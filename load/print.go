// SPDX-License-Identifier: Apache-2.0

package load

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/mintlift/mintlift/outcome"
)

// Print writes the report as a table with one row per class.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s: %.0f requests a second for %.0f s\n", r.Mix, r.Rate, r.Seconds)
	fmt.Fprintln(t, "CLASS\tSENT\tCOMPLETED\tNOT RUN\tFAILED\tUNKNOWN\tBROKEN\tFIRST TOKEN p50/p95/p99 ms\tBETWEEN p95 ms\tREFUSED p95 ms")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f / %.1f / %.1f\t%.1f\t%.1f\n",
			c.Name, c.Sent, c.Outcomes[outcome.Completed], c.Outcomes[outcome.NotRun], c.Outcomes[outcome.Failed], c.Outcomes[outcome.Unknown], c.Broken,
			c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99, c.BetweenToken.P95, c.Refused.P95)
	}
	for v, n := range r.Versions {
		if v != "" {
			fmt.Fprintf(t, "answered by %s\t%d\n", v, n)
		}
	}
	return t.Flush()
}
