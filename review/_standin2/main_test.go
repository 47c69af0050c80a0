// SPDX-License-Identifier: Apache-2.0

// Package standin2 holds the stand-ins and scripts of the second review. It is built as a
// test binary by review/build-2.sh, since only tests may name the platform's words.
package standin2

import (
	"fmt"
	"os"
	"testing"
)

// cases are the scripts by the number of their folder.
var cases = map[string]func(*world) verdict{
	"4": spoiltManifest,
	"5": originLost,
	"6": outage,
	"7": garble,
	"8": memory,
}

// Exit codes of a script.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// TestMain runs the script that the first argument names, with the folder of the second one
// for its record. TROUBLE=0 leaves out the disruption.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(exitCouldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run runs a script and returns its exit code.
func run(name, folder string, trouble bool) (code int) {
	w, err := newWorld(folder, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitCouldNot
	}
	defer func() {
		if problem := recover(); problem != nil {
			w.note("could not run: %v", problem)
			fmt.Fprintln(os.Stderr, "could not run:", problem)
			code = exitCouldNot
		}
		w.close()
	}()
	v := cases[name](w)
	w.note("verdict: %s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}

// verdict is the result of a script.
type verdict struct {
	broken bool
	text   string
}
