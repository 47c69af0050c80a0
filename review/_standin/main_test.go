// SPDX-License-Identifier: Apache-2.0

// Package standin plays the cases of the review. It is built by review/build.sh as a test
// binary that is a command: it takes the name of a case and a folder. It starts the project's own programs as
// separate processes, on loopback addresses, and stands in for the platform's store, the
// runners and the clients. Each case writes what was sent, answered and run to record.txt
// and exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
package standin

import (
	"fmt"
	"os"
	"testing"
)

func TestMain(*testing.M) {
	if len(os.Args) == 5 && os.Args[1] == "runner" {
		runChild(os.Args[2], os.Args[3], os.Args[4])
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		os.Exit(2)
	}
	cases := map[string]func(w *world) (broken int){
		"reset-without-length": resetWithoutLength,
		"crash-while-leaving":  crashWhileLeaving,
		"born-earlier":         bornEarlier,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[2], play))
}
