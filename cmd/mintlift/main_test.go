// SPDX-License-Identifier: Apache-2.0

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/examples"
)

// runCLI runs a command line, and returns the exit code and the output.
func runCLI(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(context.Background(), append([]string{"mintlift"}, args...), &out, &out)
	return code, out.String()
}

func TestExampleSettingsAreValid(t *testing.T) {
	entries, err := examples.Files.ReadDir(".")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 4)
	for _, e := range entries {
		b, err := examples.Files.ReadFile(e.Name())
		assert.NilError(t, err)
		file := filepath.Join(t.TempDir(), e.Name())
		assert.NilError(t, os.WriteFile(file, b, 0o600))
		role := strings.TrimSuffix(e.Name()[strings.LastIndex(e.Name(), "-")+1:], ".json")
		code, out := runCLI("settings", "check", "--role", role, file)
		assert.Equal(t, code, exitOK, out)
	}
}

// Checks that all errors in a settings file are reported at once.
func TestAllSettingsErrorsAreReported(t *testing.T) {
	b, err := examples.Files.ReadFile("anuario-celeste-gateway.json")
	assert.NilError(t, err)
	var fields map[string]any
	assert.NilError(t, json.Unmarshal(b, &fields))
	fields["platform"].(map[string]any)["log"] = "log.example:9000"
	fields["max_in_flight"] = -3
	fields["queue"] = "many"
	fields["drain_timeout"] = "soon"
	fields["weighing"] = "cheapest"
	fields["links"].(map[string]any)["orgin_bytes_per_second"] = 5
	b, err = json.Marshal(fields)
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "bad.json")
	assert.NilError(t, os.WriteFile(file, b, 0o600))
	code, out := runCLI("settings", "check", file)
	assert.Equal(t, code, exitUsage)
	t.Log("\n" + out)
	for _, path := range []string{"platform.log", "max_in_flight", "queue", "drain_timeout", "weighing", "links.orgin_bytes_per_second"} {
		assert.Assert(t, strings.Contains(out, path), "%s is missing in\n%s", path, out)
	}
}

func TestExitCodes(t *testing.T) {
	for code, want := range exitCodes {
		assert.Equal(t, exitCode(admin.Errorf(code, "x")), want)
	}
	code, _ := runCLI("settings", "check", "no-such-file.json")
	assert.Equal(t, code, exitUsage)
	code, _ = runCLI("plan", "show")
	assert.Equal(t, code, exitUsage)
	code, _ = runCLI("status", "--gateway", "127.0.0.1:1")
	assert.Equal(t, code, exitUnavailable)
	code, out := runCLI("version")
	assert.Equal(t, code, exitOK)
	assert.Equal(t, strings.TrimSpace(out), version)
}
