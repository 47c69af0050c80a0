// SPDX-License-Identifier: Apache-2.0

// Package invariant holds the checks that tests and the demo share: what
// must be true of answers, of the endpoints' own journals and of the log,
// whatever failed on the way.
package invariant

import (
	"fmt"
	"strings"

	"github.com/mintlift/mintlift/internal/standin"
)

// Violation says which invariant does not hold, and how that shows.
type Violation struct {
	Name   string
	Detail string
}

// String returns the violation as one line.
func (v Violation) String() string { return v.Name + ": " + v.Detail }

// Names of the invariants.
const (
	WholeAnswer  = "every caller gets the whole answer to its own request, by one version"
	WholeVersion = "no box serves partial or mixed weights"
	AtMostOnce   = "a request that is not repeatable runs at most once"
	TrueNotRun   = "a request refused as not run did not run"
	OriginBudget = "bytes from the origin stay within the plan's budget"
	FenceOrder   = "an engine's fence never falls"
	NoRevert     = "a configuration in force never reverts"
)

// Answer checks a streamed or whole answer's text: it must spell out
// exactly the given number of tokens of this version and request, in order.
func Answer(text, version, request string, tokens int) []Violation {
	var want strings.Builder
	for i := range tokens {
		want.WriteString(standin.Token(version, request, i))
	}
	if text == want.String() {
		return nil
	}
	return []Violation{{WholeAnswer, fmt.Sprintf("request %s, version %s: got %.200q", request, version, text)}}
}

// Journal checks the endpoints' journals: every run by whole weights, and
// no key twice.
func Journal(runs []standin.Run) []Violation {
	var out []Violation
	keys := make(map[string]string)
	for _, r := range runs {
		if !r.Whole {
			out = append(out, Violation{WholeVersion, fmt.Sprintf("request %s ran on %s that was not loaded whole", r.Request, r.Version)})
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

// NotRun checks that no refused request is in a eventlog.
func NotRun(refused []string, runs []standin.Run) []Violation {
	ran := make(map[string]bool, len(runs))
	for _, r := range runs {
		ran[r.Request] = true
	}
	var out []Violation
	for _, id := range refused {
		if ran[id] {
			out = append(out, Violation{TrueNotRun, "request " + id + " was refused as not run and ran"})
		}
	}
	return out
}

// Origin checks the bytes read from the origin against a budget in copies.
func Origin(sent, size int64, budget float64) []Violation {
	if copies := float64(sent) / float64(size); copies > budget {
		return []Violation{{OriginBudget, fmt.Sprintf("%.3f copies, budget %.3f", copies, budget)}}
	}
	return nil
}

// Rising checks that a sequence of offsets or fences never falls.
func Rising(name string, values []int64) []Violation {
	for i := 1; i < len(values); i++ {
		if values[i] < values[i-1] {
			return []Violation{{name, fmt.Sprintf("%d after %d", values[i], values[i-1])}}
		}
	}
	return nil
}
