// SPDX-License-Identifier: Apache-2.0

package telemetry

import (
	"context"
	"log/slog"
)

// loggerNameKey is the key of the attribute in which logr passes a logger's name
// to slog.
const loggerNameKey = "logger"

// prefixHandler is a slog.Handler that prepends the logger's name to each
// message, and removes the attribute in which logr passes the name.
type prefixHandler struct {
	slog.Handler
	name string
}

// WithAttrs implements slog.Handler.
func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	out := &prefixHandler{Handler: h.Handler, name: h.name}
	var rest []slog.Attr
	for _, a := range attrs {
		if a.Key == loggerNameKey {
			out.name = a.Value.String()
			continue
		}
		rest = append(rest, a)
	}
	if len(rest) > 0 {
		out.Handler = h.Handler.WithAttrs(rest)
	}
	return out
}

// WithGroup implements slog.Handler.
func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithGroup(name), name: h.name}
}

// Handle implements slog.Handler.
func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	name := h.name
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == loggerNameKey {
			name = a.Value.String()
			return true
		}
		out.AddAttrs(a)
		return true
	})
	if name != "" {
		out.Message = name + ": " + r.Message
	}
	return h.Handler.Handle(ctx, out)
}
