// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
)

// suspectsPath is the path at a gateway's metrics address that lists suspects, the traits of
// requests suspected of crashing endpoints. clearPath is that of the call that releases one
// from quarantine. The gateway propagates the release to the other gateways.
const (
	suspectsPath = "/suspects"
	clearPath    = suspectsPath + "/{identity}/clear"
)

// suspectsTimeout is how long the commands wait for a gateway's response.
const suspectsTimeout = 5 * time.Second

// handleSuspects registers the handlers that list suspects and clear one: its quarantine
// ends, so that its requests are served again. The identity in the path is its
// quarantine.ID. The response is 400 if the identity is invalid, and 404 if no crash is
// recorded for it.
func handleSuspects(mux *http.ServeMux, server *ingress.Server) {
	mux.HandleFunc("POST "+clearPath, func(w http.ResponseWriter, r *http.Request) {
		var id quarantine.ID
		if err := id.UnmarshalText([]byte(r.PathValue("identity"))); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !server.ClearSuspect(id, clock.Now()) {
			w.WriteHeader(http.StatusNotFound)
		}
	})
	mux.HandleFunc("GET "+suspectsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(server.QuarantineEvidence(clock.Now())) // fails if the caller has disconnected
	})
}

// suspectsCommand returns the command that lists the suspects of a gateway.
func suspectsCommand() *cli.Command {
	return &cli.Command{
		Name:  "suspects",
		Usage: "list what is in quarantine at a gateway or suspected of crashing endpoints, with the evidence",
		Flags: []cli.Flag{&cli.StringFlag{Name: "gateway", Usage: "metrics address of a gateway, IP:PORT", Required: true}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return listSuspects(ctx, c.String("gateway"), c.Root().Writer)
		},
	}
}

// listSuspects writes the suspects of a gateway as a table. gateway is its metrics address.
func listSuspects(ctx context.Context, gateway string, w io.Writer) error {
	var list []quarantine.Evidence
	if err := callSuspects(ctx, http.MethodGet, gateway, suspectsPath, &list); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "IDENTITY\tKIND\tQUARANTINED\tCRASHES\tENDPOINTS\tCOMPLETED\tFIRST\tLAST")
	for _, e := range list {
		kind := "request"
		if e.Depth > 0 {
			kind = fmt.Sprintf("part %d", e.Depth)
		}
		age := func(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
		_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%d\t%t\t%s ago\t%s ago\n", e.ID, kind, e.Quarantined, e.Crashes, e.Endpoints, e.Completed, age(e.FirstMS), age(e.LastMS))
	}
	return errors.Trace(table.Flush())
}

// clearSuspectCommand returns the command that releases a suspect from quarantine.
func clearSuspectCommand() *cli.Command {
	return &cli.Command{
		Name:  "clear-suspect",
		Usage: "release requests from quarantine, at all gateways",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Usage: "metrics address of a gateway, IP:PORT", Required: true},
			&cli.StringFlag{Name: "identity", Usage: "identity of the request or part of a prompt, as in responses and log lines", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return clearSuspect(ctx, c.String("gateway"), c.String("identity"))
		},
	}
}

// clearSuspect releases the suspect with the given identity from quarantine. gateway is
// the metrics address of any gateway.
func clearSuspect(ctx context.Context, gateway, identity string) error {
	return callSuspects(ctx, http.MethodPost, gateway, suspectsPath+"/"+identity+"/clear", nil)
}

// callSuspects makes a call to a gateway's metrics address, and decodes the response to out
// unless that is nil.
func callSuspects(ctx context.Context, method, gateway, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+gateway+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("gateway %s: status %d", gateway, response.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Trace(json.NewDecoder(response.Body).Decode(out))
}
