// SPDX-License-Identifier: Apache-2.0

package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/platform/storetest"
)

// oddEntries returns entries of the endpoint list that another writer may have left there.
func oddEntries(address string) []string {
	entry := func(address, field, value string) string {
		text := fmt.Sprintf(`{"service":"e","address":%q,"zone":"z","version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":1,"models":[{"name":"m","version":1}]}`, address)
		return strings.TrimSuffix(text, "}") + fmt.Sprintf(",%q:%s}", field, value)
	}
	out := []string{
		entry(address, "extra", strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)),
		entry(address, "models", strings.Repeat(`[{"layers":`, 20_000)),
		"\x00garbled",
	}
	for _, number := range []string{"9223372036854775807", "1e300", "1e999", "-1e300"} {
		for _, field := range []string{"slots", "cold_remaining_ms", "sequence", "born"} {
			out = append(out, entry(address, field, number))
		}
		out = append(out, entry(address, "models", `[{"name":"m","version":`+number+`}]`))
	}
	for _, odd := range []string{"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:1e9", "0.0.0.0:80"} {
		out = append(out, entry(odd, "extra", "0"))
	}
	return out
}

// Guards against gateways and sidecars that end, or no longer follow the list, because another
// writer has left an odd entry among those of the endpoints: before they start, or later.
func TestOddEntriesDoNotDisturb(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		d := startWeights(t, 2)
		odd := oddEntries("10.0.0.9:8320")
		for n, text := range odd {
			d.store.Put(storetest.Endpoints, fmt.Sprint("i-odd-", n), text)
		}
		serves := func() {
			t.Helper()
			d.awaitLoaded(t, 2)
			time.Sleep(3 * time.Second)
			d.sendRequestsFor(2 * time.Second)
			d.checkVersions(t, 2)
			assert.Equal(t, d.served[0], 0, "requests by version: %v", d.served)
		}
		d.setTargetVersion(2)
		serves()
		d.restart(t)
		serves()
		d.startBox(t, d.network+".120")
		serves()
		for n, text := range odd { // later
			d.store.Put(storetest.Endpoints, fmt.Sprint("i-odd-later-", n), text)
		}
		d.startBox(t, d.network+".121") // the list is still followed
		serves()
	})
}
