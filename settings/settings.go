// SPDX-License-Identifier: Apache-2.0

// Package settings reads the JSON settings of mintlift's processes.
//
// Each program has one struct of settings with defaults. Unknown fields and
// values out of range are rejected. All problems of a file are reported
// together, each with the field's path, its value and the allowed values.
// Settings contain no secrets, only the paths of files with secrets.
package settings

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-viper/mapstructure/v2"
	"github.com/juju/errors"

	"github.com/mintlift/mintlift/intent"
	"github.com/mintlift/mintlift/membership"
	"github.com/mintlift/mintlift/telemetry"
)

// Node is the location of a process.
type Node struct {
	// Box is the id of the box in the box list.
	Box    string `json:"box"`
	Region string `json:"region"`
	// Zone is the availability zone within the region.
	Zone string `json:"availability_zone"`
}

// AvailabilityZone returns the node's zone.
func (n Node) AvailabilityZone() membership.AvailabilityZone {
	return membership.AvailabilityZone{Region: n.Region, Zone: n.Zone}
}

// Platform holds the address (IP:port) of each platform service.
type Platform struct {
	Log         string `json:"log"`
	WeightStore string `json:"weight_store"`
	Origin      string `json:"origin"`
	BoxList     string `json:"box_list"`
}

// TLS holds the paths of a listener's certificate and key. If both are empty, the
// listener uses plain HTTP.
type TLS struct {
	CertFile string `json:"cert_file"`
	KeyFile  string `json:"key_file"`
	// ClientCAFile, if set, makes the listener require client certificates that
	// are signed by one of its CAs.
	ClientCAFile string `json:"client_ca_file"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.CertFile != "" }

// Links holds the link rates that plans assume, in bytes per second: those of the
// origin and of each box. 0 means unknown.
type Links struct {
	Origin float64 `json:"origin_bytes_per_second"`
	Box    float64 `json:"box_bytes_per_second"`
}

// Gateway is the settings of "mintlift gateway".
type Gateway struct {
	Node     Node     `json:"node"`
	Platform Platform `json:"platform"`
	// CallerListen, AdminListen and PeerListen are the listen addresses (IP:port)
	// for callers, for operators and for other mintlift processes.
	CallerListen string `json:"caller_listen"`
	AdminListen  string `json:"admin_listen"`
	PeerListen   string `json:"peer_listen"`
	CallerTLS    TLS    `json:"caller_tls"`
	AdminTLS     TLS    `json:"admin_tls"`
	PeerTLS      TLS    `json:"peer_tls"`
	// PeerKeyFile is the path of the key that mintlift's processes share. If it
	// is empty, peer requests need no key.
	PeerKeyFile string `json:"peer_key_file"`
	// OperatorKeyFile is the path of the key of the first operator, "bootstrap".
	OperatorKeyFile string `json:"operator_key_file"`
	// MaxInFlight is the maximum number of requests in flight. Queue is the
	// maximum number of waiting requests.
	MaxInFlight int `json:"max_in_flight"`
	Queue       int `json:"queue"`
	// RequestTimeout is the timeout of requests without a deadline.
	RequestTimeout time.Duration `json:"request_timeout"`
	// DrainTimeout is the timeout of a graceful shutdown.
	DrainTimeout time.Duration `json:"drain_timeout"`
	// Weighing selects what plans minimize: the time until all replicas are ready, or
	// the bytes read from the origin. An intent can override it.
	Weighing intent.Weighing `json:"weighing"`
	Links    Links           `json:"links"`
	// PlanTTL is the time within which a proposed plan can be confirmed.
	PlanTTL time.Duration           `json:"plan_ttl"`
	Log     telemetry.LogSettings   `json:"log"`
	Trace   telemetry.TraceSettings `json:"trace"`
}

// Sidecar is the settings of "mintlift sidecar".
type Sidecar struct {
	Node     Node     `json:"node"`
	Platform Platform `json:"platform"`
	// PeerListen is the IP:port for gateways and other sidecars.
	PeerListen  string `json:"peer_listen"`
	PeerTLS     TLS    `json:"peer_tls"`
	PeerKeyFile string `json:"peer_key_file"`
	// Endpoint is the IP:port of the model engine or plain service.
	Endpoint string `json:"endpoint"`
	// Service is the name of the plain service. It is empty if the endpoint is a
	// model engine.
	Service string `json:"service"`
	// MaxInFlight is the maximum number of requests in flight at the endpoint.
	// Queue is the maximum number of requests that wait for it, by priority.
	MaxInFlight  int           `json:"max_in_flight"`
	Queue        int           `json:"queue"`
	DrainTimeout time.Duration `json:"drain_timeout"`
	Links        Links         `json:"links"`

	Log   telemetry.LogSettings   `json:"log"`
	Trace telemetry.TraceSettings `json:"trace"`
}

// DefaultGateway returns the defaults of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		CallerListen:   "127.0.0.1:8080",
		AdminListen:    "127.0.0.1:8081",
		PeerListen:     "127.0.0.1:8082",
		MaxInFlight:    2000,
		Queue:          500,
		RequestTimeout: 2 * time.Minute,
		DrainTimeout:   time.Minute,
		Weighing:       intent.TimeToReplicas,
		PlanTTL:        15 * time.Minute,
		Log:            telemetry.LogSettings{Level: telemetry.LevelInfo},
		Trace:          telemetry.TraceSettings{Exporter: telemetry.ExportNone, Sample: 0.01},
	}
}

// DefaultSidecar returns the defaults of a sidecar.
func DefaultSidecar() Sidecar {
	return Sidecar{
		PeerListen:   "127.0.0.1:8090",
		MaxInFlight:  64,
		Queue:        64,
		DrainTimeout: time.Minute,
		Log:          telemetry.LogSettings{Level: telemetry.LevelInfo},
		Trace:        telemetry.TraceSettings{Exporter: telemetry.ExportNone, Sample: 0.01},
	}
}

// Problem is an invalid field of a settings file.
type Problem struct {
	// Path is the path of the field, such as "platform.log".
	Path string `json:"path"`
	// Value is the field's value as text, or a description of the problem.
	Value string `json:"value"`
	// Want describes the allowed values.
	Want string `json:"want"`
}

// String returns the problem as one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s (want %s)", p.Path, p.Value, p.Want) }

// Problems are all invalid fields of a settings file.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// LoadGateway reads a gateway's settings from a file. Invalid settings are an
// error of type Problems. A file that cannot be read, or is not JSON, is another
// error.
func LoadGateway(path string) (Gateway, error) {
	s := DefaultGateway()
	err := load(path, &s, func(c *checker) { c.gateway(&s) })
	return s, err
}

// LoadSidecar reads a sidecar's settings from a file. See LoadGateway for the
// errors.
func LoadSidecar(path string) (Sidecar, error) {
	s := DefaultSidecar()
	err := load(path, &s, func(c *checker) { c.sidecar(&s) })
	return s, err
}

// load reads the settings file at path into the struct that into points to, and
// calls check to validate it.
func load(path string, into any, check func(*checker)) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "read settings")
	}
	var raw map[string]any
	if err := json.Unmarshal(b, &raw); err != nil {
		return errors.Annotatef(err, "parse settings %s as JSON", path)
	}
	c := &checker{}
	c.decode(raw, into)
	check(c)
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortFunc(c.problems, func(a, b Problem) int { return strings.Compare(a.Path, b.Path) })
	return c.problems
}

// checker validates settings and collects the problems.
type checker struct{ problems Problems }

// report adds a problem with a field, unless one is already reported for it.
func (c *checker) report(path, value, want string) {
	for _, p := range c.problems {
		if p.Path == path {
			return
		}
	}
	c.problems = append(c.problems, Problem{Path: path, Value: value, Want: want})
}

// decode copies raw into the struct that into points to, and reports values of
// the wrong type and unknown fields.
func (c *checker) decode(raw map[string]any, into any) {
	var meta mapstructure.Metadata
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:     into,
		TagName:    "json",
		Metadata:   &meta,
		MatchName:  func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.StringToTimeDurationHookFunc(),
	})
	if err != nil {
		panic("settings: decoder: " + err.Error()) // the configuration above is constant
	}
	c.decodeErrors(d.Decode(raw), raw)
	for _, path := range meta.Unused {
		c.report(path, "unknown field", "a field named on docs/SETTINGS.md")
	}
}

// decodeErrors reports each mapstructure.DecodeError in err, which may be a tree of
// wrapped and joined errors.
func (c *checker) decodeErrors(err error, raw map[string]any) {
	switch e := err.(type) {
	case nil:
	case *mapstructure.DecodeError:
		c.report(e.Name(), jsonAt(raw, e.Name()), "a value of the documented type: "+e.Unwrap().Error())
	case interface{ Unwrap() []error }:
		for _, wrapped := range e.Unwrap() {
			c.decodeErrors(wrapped, raw)
		}
	case interface{ Unwrap() error }:
		c.decodeErrors(e.Unwrap(), raw)
	default:
		c.report("settings", err.Error(), "values of the documented types")
	}
}

// jsonAt returns the value at a path as JSON, or "" if there is no such path.
func jsonAt(raw map[string]any, path string) string {
	var value any = raw
	for _, name := range strings.Split(path, ".") {
		inner, ok := value.(map[string]any)
		if !ok {
			return ""
		}
		value = inner[name]
	}
	b, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(b)
}

// gateway checks the settings of a gateway.
func (c *checker) gateway(s *Gateway) {
	c.node(s.Node)
	c.platform(s.Platform)
	c.address("caller_listen", s.CallerListen)
	c.address("admin_listen", s.AdminListen)
	c.address("peer_listen", s.PeerListen)
	c.tls("caller_tls", s.CallerTLS)
	c.tls("admin_tls", s.AdminTLS)
	c.tls("peer_tls", s.PeerTLS)
	c.fileExists("peer_key_file", s.PeerKeyFile)
	c.fileExists("operator_key_file", s.OperatorKeyFile)
	c.intRange("max_in_flight", s.MaxInFlight, 1, 100000)
	c.intRange("queue", s.Queue, 0, 100000)
	c.durationRange("request_timeout", s.RequestTimeout, time.Second, time.Hour)
	c.durationRange("drain_timeout", s.DrainTimeout, time.Second, time.Hour)
	c.durationRange("plan_ttl", s.PlanTTL, time.Second, 24*time.Hour)
	c.choice("weighing", string(s.Weighing), string(intent.TimeToReplicas), string(intent.OriginBytes))
	c.links(s.Links)
	c.telemetry(s.Log, s.Trace)
}

// sidecar checks the settings of a sidecar.
func (c *checker) sidecar(s *Sidecar) {
	c.node(s.Node)
	c.platform(s.Platform)
	c.address("peer_listen", s.PeerListen)
	c.address("endpoint", s.Endpoint)
	c.tls("peer_tls", s.PeerTLS)
	c.fileExists("peer_key_file", s.PeerKeyFile)
	c.intRange("max_in_flight", s.MaxInFlight, 1, 100000)
	c.intRange("queue", s.Queue, 0, 100000)
	c.durationRange("drain_timeout", s.DrainTimeout, time.Second, time.Hour)
	c.links(s.Links)
	c.telemetry(s.Log, s.Trace)
}

// node checks the names of the box, region and availability zone.
func (c *checker) node(n Node) {
	c.name("node.box", n.Box)
	c.name("node.region", n.Region)
	c.name("node.availability_zone", n.Zone)
}

// platform checks the addresses of the platform's services.
func (c *checker) platform(p Platform) {
	c.address("platform.log", p.Log)
	c.address("platform.weight_store", p.WeightStore)
	c.address("platform.origin", p.Origin)
	c.address("platform.box_list", p.BoxList)
}

// links checks the link rates.
func (c *checker) links(l Links) {
	c.rate("links.origin_bytes_per_second", l.Origin)
	c.rate("links.box_bytes_per_second", l.Box)
}

// telemetry checks the settings of logs and traces.
func (c *checker) telemetry(l telemetry.LogSettings, t telemetry.TraceSettings) {
	c.choice("log.level", l.Level, telemetry.LevelError, telemetry.LevelInfo, telemetry.LevelDebug)
	c.choice("trace.exporter", t.Exporter, telemetry.ExportNone, telemetry.ExportFile, telemetry.ExportOTLP)
	if t.Exporter != telemetry.ExportNone && t.Target == "" {
		c.report("trace.target", `""`, "a file for exporter file, host:port for otlphttp")
	}
	if t.Sample < 0 || t.Sample > 1 {
		c.report("trace.sample", strconv.FormatFloat(t.Sample, 'g', -1, 64), "0 to 1")
	}
}

// name reports a setting that is not a valid name. As for the checks below, path is the
// setting's path in the file.
func (c *checker) name(path, v string) {
	if v == "" || len(v) > 64 || strings.ContainsAny(v, " /\\\"") {
		c.report(path, strconv.Quote(v), "a name of 1 to 64 characters without space, slash or quote")
	}
}

// address reports a setting that is not an IP address and port.
func (c *checker) address(path, v string) {
	host, port, err := net.SplitHostPort(v)
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || n < 0 || n > 65535 || net.ParseIP(host) == nil {
		c.report(path, strconv.Quote(v), "an IP address and port, such as 10.0.0.7:8080")
	}
}

// intRange reports a number outside of low to high, both inclusive.
func (c *checker) intRange(path string, v, low, high int) {
	if v < low || v > high {
		c.report(path, strconv.Itoa(v), fmt.Sprintf("%d to %d", low, high))
	}
}

// durationRange reports a duration outside of low to high, both inclusive.
func (c *checker) durationRange(path string, v, low, high time.Duration) {
	if v < low || v > high {
		c.report(path, v.String(), fmt.Sprintf("%v to %v", low, high))
	}
}

// rate reports a rate in bytes per second that is negative or above 1e12; 0 means unknown.
func (c *checker) rate(path string, v float64) {
	if v < 0 || v > 1e12 {
		c.report(path, strconv.FormatFloat(v, 'g', -1, 64), "0 (unknown) to 1e12 bytes per second")
	}
}

// choice reports a value that is not one of the allowed ones.
func (c *checker) choice(path, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.report(path, strconv.Quote(v), "one of "+strings.Join(allowed, ", "))
	}
}

// fileExists reports the setting if the file that it names does not exist. An empty
// file means that none is set.
func (c *checker) fileExists(setting, file string) {
	if file == "" {
		return
	}
	if _, err := os.Stat(file); err != nil {
		c.report(setting, strconv.Quote(file), "an existing file")
	}
}

// tls reports TLS files that do not exist, and a certificate without a key or a key
// without a certificate.
func (c *checker) tls(path string, t TLS) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		c.report(path, "one of cert_file and key_file is missing", "both or neither")
	}
	v := reflect.ValueOf(t)
	for i := range v.NumField() {
		c.fileExists(path+"."+v.Type().Field(i).Tag.Get("json"), v.Field(i).String())
	}
}
