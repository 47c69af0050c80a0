// SPDX-License-Identifier: Apache-2.0

// Package invariant provides the invariant checks that tests and the demo share. The
// invariants must hold under any injected fault. Checked are the answers that callers
// receive, the requests that the stand-in endpoints ran, and sequences of fences
// (fencing tokens) or offsets.
package invariant

import (
	"fmt"
	"strings"

	"github.com/mintlift/mintlift/internal/standin"
)

// Violation is an observation that violates an invariant.
type Violation struct {
	Name   string // the violated invariant, one of the constants below
	Detail string // what was observed
}

// String returns the violation as one line.
func (v Violation) String() string { return v.Name + ": " + v.Detail }

// Texts of the invariants, used as names of violations.
const (
	CompleteAnswer  = "every caller gets the whole answer to its own request, by one version"
	CompleteWeights = "no box serves partial or mixed weights"
	AtMostOnce      = "a request that is not repeatable runs at most once"
	RefusedNeverRan = "a request refused as not run did not run"
	OriginBudget    = "bytes from the origin stay within the plan's budget"
	FenceOrder      = "an engine's fence never falls"
	NoRevert        = "a configuration in force never reverts"
)

// CheckAnswer checks the text of an answer, streamed or not. The text must consist of
// exactly the tokens 0 to tokens-1 that this version generates for this request, in
// order.
func CheckAnswer(text, version, request string, tokens int) []Violation {
	var want strings.Builder
	for i := range tokens {
		want.WriteString(standin.Token(version, request, i))
	}
	if text == want.String() {
		return nil
	}
	return []Violation{{CompleteAnswer, fmt.Sprintf("request %s, version %s: got %.200q", request, version, text)}}
}

// CheckRuns checks the requests that the endpoints ran. Each request must have run on
// completely loaded weights, and a workspace's requests with the same idempotency key
// must have run at most once.
func CheckRuns(runs []standin.Run) []Violation {
	var out []Violation
	keys := make(map[string]string)
	for _, r := range runs {
		if !r.Whole {
			out = append(out, Violation{CompleteWeights, fmt.Sprintf("request %s ran on %s whose weights were not completely loaded", r.Request, r.Version)})
		}
		if r.Key == "" {
			continue
		}
		scoped := r.Workspace + "/" + r.Key
		if first, ok := keys[scoped]; ok {
			out = append(out, Violation{AtMostOnce, fmt.Sprintf("key %s ran as request %s and as %s", scoped, first, r.Request)})
		}
		keys[scoped] = r.Request
	}
	return out
}

// CheckNotRun checks requests whose refusal stated that they did not run: none of the
// request IDs in refused may occur in runs.
func CheckNotRun(refused []string, runs []standin.Run) []Violation {
	ran := make(map[string]bool, len(runs))
	for _, r := range runs {
		ran[r.Request] = true
	}
	var out []Violation
	for _, id := range refused {
		if ran[id] {
			out = append(out, Violation{RefusedNeverRan, "request " + id + " was refused as not run but ran"})
		}
	}
	return out
}

// CheckOriginBytes checks that the origin sent at most budget copies of a model. sent
// and size, the size of one copy, are in bytes.
func CheckOriginBytes(sent, size int64, budget float64) []Violation {
	if copies := float64(sent) / float64(size); copies > budget {
		return []Violation{{OriginBudget, fmt.Sprintf("%.3f copies, budget %.3f", copies, budget)}}
	}
	return nil
}

// CheckNonDecreasing checks that a sequence of offsets or fences never decreases. name
// is the invariant that a decrease violates.
func CheckNonDecreasing(name string, values []int64) []Violation {
	for i := 1; i < len(values); i++ {
		if values[i] < values[i-1] {
			return []Violation{{name, fmt.Sprintf("%d after %d", values[i], values[i-1])}}
		}
	}
	return nil
}
