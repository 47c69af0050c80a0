// SPDX-License-Identifier: Apache-2.0

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/mintlift/mintlift/ingress"
	"github.com/mintlift/mintlift/internal/clock"
	"github.com/mintlift/mintlift/quarantine"
)

// clearPath is the path at a gateway's metrics address for the call that releases a
// request from quarantine, in which it is because it crashed endpoints. The gateway
// propagates the release to the other gateways.
const clearPath = "/suspects/{identity}/clear"

// clearTimeout is how long the command clear-suspect waits for a gateway's response.
const clearTimeout = 5 * time.Second

// handleClearSuspect registers the handler that clears a suspect, a request suspected of
// crashing endpoints: its quarantine ends, so that it is served again. The identity in
// the path is the request's quarantine.ID. The response is 400 if the identity is invalid,
// and 404 if no crash is recorded for the request.
func handleClearSuspect(mux *http.ServeMux, server *ingress.Server) {
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
}

// clearSuspectCommand returns the command that releases a request from quarantine, where
// it is because it crashed endpoints.
func clearSuspectCommand() *cli.Command {
	return &cli.Command{
		Name:  "clear-suspect",
		Usage: "release a request from quarantine, at all gateways",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Usage: "metrics address of a gateway, IP:PORT", Required: true},
			&cli.StringFlag{Name: "identity", Usage: "the request's identity, as in its responses and log lines", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return clearSuspect(ctx, c.String("gateway"), c.String("identity"))
		},
	}
}

// clearSuspect releases the request with the given identity from quarantine. gateway is
// the metrics address of any gateway.
func clearSuspect(ctx context.Context, gateway, identity string) error {
	ctx, cancel := context.WithTimeout(ctx, clearTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+"/suspects/"+identity+"/clear", nil)
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
	return nil
}
