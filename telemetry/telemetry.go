// SPDX-License-Identifier: Apache-2.0

// Package telemetry sets up a process's logs, metrics and traces.
//
// Logs are written by logr over slog's JSON handler, one line per record, with
// the logger's name as a prefix of the message. Metrics are kept in a
// VictoriaMetrics/metrics Set per process. Traces are recorded by go-zero's
// OpenTelemetry agent and exported to a file or over OTLP.
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

// LogSettings configure logging.
type LogSettings struct {
	// Level is "error", "info" or "debug".
	Level string `json:"level"`
}

// TraceSettings configure tracing.
type TraceSettings struct {
	// Exporter is "none", "file" or "otlphttp".
	Exporter string `json:"exporter"`
	// Target is the path of the file, or host:port of the OTLP collector.
	Target string `json:"target"`
	// Sample is the share of requests that are traced, from 0 to 1. It applies
	// to requests for which the caller has not made the sampling decision.
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

// NewLogger returns a logger that writes JSON lines to w. An empty or unknown
// level is LevelInfo.
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

// NamedLogger returns a logger whose messages have the prefix "name: ".
func NamedLogger(l logr.Logger, name string) logr.Logger { return l.WithName(name) }

// StartTraces starts the global trace exporter. The returned function flushes
// and stops it.
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

// Counter returns the counter with this name and labels, creating it if needed.
// labels alternates names and values.
func (m *Metrics) Counter(name string, labels ...string) *metrics.Counter {
	return m.set.GetOrCreateCounter(series(name, labels))
}

// Histogram returns the histogram with this name and labels, creating it if
// needed. labels alternates names and values.
func (m *Metrics) Histogram(name string, labels ...string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(series(name, labels))
}

// Gauge registers a gauge whose value is read at each scrape, unless it exists. labels
// alternates names and values.
func (m *Metrics) Gauge(name string, read func() float64, labels ...string) {
	m.set.GetOrCreateGauge(series(name, labels), read)
}

// RegisterTraffic registers the gauges of received and sent bytes of a meter.
func (m *Metrics) RegisterTraffic(t *meter.Meter) {
	m.Gauge("mintlift_net_received_bytes", func() float64 { return float64(t.In()) })
	m.Gauge("mintlift_net_sent_bytes", func() float64 { return float64(t.Out()) })
}

// RegisterState registers the gauges common to all processes: the offset in the
// event log up to which the state has been read, the seconds since the last contact
// with the log, and the numbers of active and waiting requests.
func (m *Metrics) RegisterState(offset func() int64, contact func() time.Time, load func() (active, waiting int)) {
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

// Handler writes the set and the Go process metrics in Prometheus format.
func (m *Metrics) Handler(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// series returns a metric's name with its labels in Prometheus format.
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
