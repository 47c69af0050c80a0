// SPDX-License-Identifier: Apache-2.0

// Command mintlift runs the processes of mintlift and administers them.
//
// "mintlift gateway" and "mintlift sidecar" are the daemons; the other
// commands are a client of the administration API. docs/OPERATIONS.md is
// written for operators; docs/API.md lists the exit codes.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/admin"
	"github.com/mintlift/mintlift/httpserve"
	"github.com/mintlift/mintlift/settings"
)

// version is the release; the build may override it.
var version = "0.1.0-dev"

// Exit codes. docs/API.md documents them.
const (
	exitOK             = 0
	exitFailed         = 1 // any other error
	exitUsage          = 2 // the command line or a settings file is invalid
	exitUnavailable    = 3 // the gateway or a platform service is unavailable
	exitRefused        = 4 // key missing or invalid, or lacks the permission
	exitNotFound       = 5 // the named object does not exist
	exitInvalid        = 6 // the request is invalid or cannot be satisfied
	exitConflict       = 7 // conflict with another change, or the plan is no longer proposed
	exitOutcomeUnknown = 8 // unknown whether the change was accepted
	exitInvariant      = 9 // a check of the demo or of a benchmark failed
)

// exitCodes maps error codes of the administration API to exit codes.
var exitCodes = map[admin.Code]int{
	admin.CodeInvalid:        exitInvalid,
	admin.CodeUnauthorized:   exitRefused,
	admin.CodeForbidden:      exitRefused,
	admin.CodeNotFound:       exitNotFound,
	admin.CodeConflict:       exitConflict,
	admin.CodeNotProposed:    exitConflict,
	admin.CodeExpired:        exitConflict,
	admin.CodeBadManifest:    exitInvalid,
	admin.CodeNoBoxes:        exitInvalid,
	admin.CodeFloor:          exitInvalid,
	admin.CodeMemory:         exitInvalid,
	admin.CodeUnavailable:    exitUnavailable,
	admin.CodeOutcomeUnknown: exitOutcomeUnknown,
}

// errInvariant is the type of errors for a violated invariant.
const errInvariant = errors.ConstError("invariant does not hold")

// errUsage is the type of errors in the command line or in a file given there.
const errUsage = errors.ConstError("usage")

func main() {
	os.Exit(run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

// run executes a command line and returns its exit code. Errors are printed to
// errOut.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	httpserve.DisableGoZeroLogs()
	app := &cli.Command{
		Name:                  "mintlift",
		Usage:                 "roll out model weights to many boxes while they keep serving",
		Version:               version,
		EnableShellCompletion: true,
		Writer:                out,
		ErrWriter:             errOut,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			gatewayCommand(), sidecarCommand(), platformCommand(), demoCommand(),
			intentCommand(), planCommand(), boxesCommand(), workspacesCommand(), operatorsCommand(), statusCommand(),
			settingsCommand(), loadCommand(), explainCommand(), benchCommand(), capacityCommand(), standinCommand(), versionCommand(),
		},
	}
	err := app.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, "mintlift:", err)
	return exitCode(err)
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var api *admin.Error
	var problems settings.Problems
	switch {
	case errors.As(err, &api):
		return exitCodes[api.Code]
	case errors.As(err, &problems), errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, errInvariant):
		return exitInvariant
	default:
		return exitFailed
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the release",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, version)
			return err
		},
	}
}
