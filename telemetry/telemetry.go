// SPDX-License-Identifier: Apache-2.0

// Package telemetry sets up a process's logs, metrics and traces.
//
// Logs are logr over the standard library's slog JSON handler: one line a
// record, the part's name as a fixed prefix of the message, the level from
// settings. slog was taken because it needs no further library and its
// level can be changed while the process runs. Metrics are
// VictoriaMetrics/metrics in a Set that the process owns. Traces are
// go-zero's OpenTelemetry agent, exported to a file or over OTLP.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/core/trace"

	"github.com/mintlift/mintlift/internal/meter"
)

// LogSettings choose what is logged.
type LogSettings struct {
	// Level is "error", "info" or "debug".
	Level string `json:"level"`
}

// TraceSettings choose where spans go.
type TraceSettings struct {
	// Exporter is "none", "file" or "otlphttp".
	Exporter string `json:"exporter"`
	// Target is a file's path, or host:port of the collector.
	Target string `json:"target"`
	// Sample is the share of requests traced when the caller does not say.
	Sample float64 `json:"sample"`
}

// Levels of LogSettings.
const (
	LevelError = "error"
	LevelInfo  = "info"
	LevelDebug = "debug"
)

// Exporters of TraceSettings.
const (
	ExportNone = "none"
	ExportFile = "file"
	ExportOTLP = "otlphttp"
)

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w io.Writer, s LogSettings) logr.Logger {
	level := slog.LevelInfo
	switch s.Level {
	case LevelError:
		level = slog.LevelError
	case LevelDebug:
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(&prefixHandler{Handler: slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})})
}

// Part returns a logger whose messages start with "part: ".
func Part(l logr.Logger, part string) logr.Logger { return l.WithName(part) }

// StartTraces installs the exporter; the returned function flushes it.
func StartTraces(process string, s TraceSettings) (stop func(), err error) {
	c := trace.Config{Name: process, Endpoint: s.Target, Sampler: s.Sample}
	switch s.Exporter {
	case "", ExportNone:
		return func() {}, nil
	case ExportFile:
		c.Batcher = "file"
	case ExportOTLP:
		c.Batcher = "otlphttp"
	default:
		return nil, errors.NotValidf("trace exporter %q", s.Exporter)
	}
	trace.StartAgent(c)
	return trace.StopAgent, nil
}

// Metrics is a process's set of metrics.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns an empty set.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// Counter returns the counter with this name and labels, given as pairs.
func (m *Metrics) Counter(name string, labels ...string) *metrics.Counter {
	return m.set.GetOrCreateCounter(series(name, labels))
}

// Histogram returns the histogram with this name and labels.
func (m *Metrics) Histogram(name string, labels ...string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(series(name, labels))
}

// Gauge registers a gauge that is read when metrics are.
func (m *Metrics) Gauge(name string, read func() float64) { m.set.GetOrCreateGauge(name, read) }

// Traffic registers the gauges of a meter.
func (m *Metrics) Traffic(t *meter.Meter) {
	m.Gauge("mintlift_net_received_bytes", func() float64 { return float64(t.In()) })
	m.Gauge("mintlift_net_sent_bytes", func() float64 { return float64(t.Out()) })
}

// State registers the gauges that every process has: its state's offset,
// the seconds since it heard the log, and the requests in progress.
func (m *Metrics) State(offset func() int64, contact func() time.Time, load func() (active, waiting int)) {
	m.Gauge("mintlift_state_offset", func() float64 { return float64(offset()) })
	m.Gauge("mintlift_log_contact_seconds", func() float64 { return time.Since(contact()).Seconds() })
	m.Gauge("mintlift_requests_in_flight", func() float64 {
		active, _ := load()
		return float64(active)
	})
	m.Gauge("mintlift_requests_waiting", func() float64 {
		_, waiting := load()
		return float64(waiting)
	})
}

// Handler serves the set, and the process's own metrics, on /metrics.
func (m *Metrics) Handler(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func series(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}
