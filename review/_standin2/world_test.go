// SPDX-License-Identifier: Apache-2.0

package standin2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/mintlift/mintlift/platform/enginetest"
	"github.com/mintlift/mintlift/platform/storetest"
)

// The deployment: the bounds are those of the sheet of celeste-prod.
const (
	gatewayCount = 3
	engineCount  = 6
	plainCount   = 3
	engineName   = "engines"
	plainName    = "plain"
	modelName    = "model"
	chunkCount   = 64
	layerCount   = 16
	chunkBytes   = 32 << 10
	versionMS    = 8000
	recovery     = 12 * time.Second
	program      = "target/mintlift"
)

var weights = enginetest.Weights{Model: modelName, Chunks: chunkCount, ChunkBytes: chunkBytes, Layers: layerCount}

var zoneNames = []string{"z1", "z2", "z3"}

// world is a small deployment on loopback addresses: real daemons, and stand-ins for the
// store, the origin, the runners and the clients.
type world struct {
	trouble bool
	prefix  string
	offset  int // of the gateways' addresses
	dir     string
	start   time.Time
	store   *storetest.Store
	origin  *origin
	daemons []*daemon
	servers []*http.Server

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	runs   map[string]string // the runner that ran a request, by request id
}

// newWorld opens the record and picks free loopback addresses.
func newWorld(folder string, trouble bool) (*world, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, start: time.Now(), store: storetest.New(), file: file, record: bufio.NewWriter(file), runs: make(map[string]string)}
	if !w.pickPrefix() {
		return nil, fmt.Errorf("no free address")
	}
	w.note("TROUBLE=%t", trouble)
	return w, nil
}

// pickPrefix picks the first three octets of all addresses; false if none are free.
func (w *world) pickPrefix() bool {
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		if l, err := net.Listen("tcp4", w.storeAddress()); err == nil {
			_ = l.Close()
			return true
		}
	}
	return false
}

func (w *world) storeAddress() string    { return w.prefix + ".5:8007" }
func (w *world) originAddress() string   { return w.prefix + ".6:8006" }
func (w *world) gatewayIP(n int) string  { return fmt.Sprintf("%s.%d", w.prefix, 10+w.offset+n) }
func (w *world) sideIP(n int) string     { return fmt.Sprintf("%s.%d", w.prefix, 100+n) }
func (w *world) plainIP(n int) string    { return fmt.Sprintf("%s.%d", w.prefix, 150+n) }
func (w *world) front(n int) string      { return w.gatewayIP(n) + ":8005" }
func (w *world) sinceStart() float64     { return time.Since(w.start).Seconds() }
func (w *world) zoneOf(n int) string     { return zoneNames[n%len(zoneNames)] }
func (w *world) engineAddr(n int) string { return w.sideIP(n) + ":8001" }

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f s  %s\n", w.sinceStart(), fmt.Sprintf(format, args...))
}

// listen serves h on an address.
func (w *world) listen(address string, h http.Handler) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

// put writes a record to the store, which acknowledges it.
func (w *world) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.store.Put(topic, key, string(data))
}

// settings returns the settings of a machine, in the form of DEPLOY.md.
func (w *world) settings(class, name, ip, zone string, bootstrap bool) map[string]any {
	zones := make(map[string]string)
	for _, z := range zoneNames {
		zones[z] = "r1"
	}
	out := map[string]any{
		"node_name": name, "role": class, "machine_class": class, "ip": ip, "zone": zone, "region": "r1", "zones": zones,
		"listen": map[string]string{}, "internal_ports": []int{7700, 7715}, "bootstrap": bootstrap, "heartbeat_ms": 1200,
		"seeds":  []string{w.gatewayIP(0) + ":8000", w.gatewayIP(1) + ":8000", w.gatewayIP(2) + ":8000"},
		"limits": map[string]any{"cpu_share": 0.5, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 106,
			"recovery_s": recovery.Seconds(), "pass_ms": 120, "retry_after_s": 0, "version_ms": versionMS, "version_all_ms": 0,
		},
		"platform": map[string]any{
			"address": w.storeAddress(), "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "part_mb_per_s": 20.0,
			"read_mb_per_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300, "part_mb": 200, "ttl_min_ms": 1000,
		},
	}
	if class == "front" {
		out["listen"] = map[string]string{"front": ip + ":8005", "ready": ip + ":8002", "control": ip + ":8000"}
		out["serves"] = []string{"front", "control"}
		return out
	}
	out["serves"], out["app"], out["service"] = []string{"side"}, ip+":8001", engineName
	out["limits"] = map[string]any{"cpu_share": 0.48, "cores": 1, "memory_mb": 152, "max_fds": 2048, "link_mbps": 7.6, "disk_mb": 0}
	return out
}

// daemon is a process of the project, across its restarts.
type daemon struct {
	world           *world
	class, name, ip string
	zone            string
	role            string
	log             *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	starts int
}

// addDaemon adds a process, which launch starts.
func (w *world) addDaemon(class, role, name, ip, zone string) *daemon {
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		panic(err)
	}
	d := &daemon{world: w, class: class, role: role, name: name, ip: ip, zone: zone, log: log}
	w.daemons = append(w.daemons, d)
	return d
}

// launch starts the process with the command of the deploy file.
func (d *daemon) launch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	path := filepath.Join(d.world.dir, d.name+".json")
	data, err := json.Marshal(d.world.settings(d.class, d.name, d.ip, d.zone, d.starts == 0))
	if err != nil {
		panic(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		panic(err)
	}
	cmd := exec.Command(program, "platform", d.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MINTLIFT_BOOT=" + path, "GOMAXPROCS=1"}
	cmd.Stdout, cmd.Stderr = d.log, d.log
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	d.starts++
	d.cmd, d.exited = cmd, make(chan struct{})
	go func(done chan struct{}) { _ = cmd.Wait(); close(done) }(d.exited)
}

// kill ends the process by SIGKILL and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// killAll kills all processes at the same moment.
func (w *world) killAll() {
	var group sync.WaitGroup
	for _, d := range w.daemons {
		group.Go(d.kill)
	}
	group.Wait()
}

// launchAll starts all processes.
func (w *world) launchAll() {
	for _, d := range w.daemons {
		d.launch()
	}
}

// awaitReady waits until all gateways answer the readiness probe with 200.
func (w *world) awaitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for n := range gatewayCount {
			if r, err := client.Get("http://" + w.gatewayIP(n) + ":8002/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == gatewayCount {
			w.note("all gateways are ready")
			return
		}
		if time.Now().After(end) {
			panic("the gateways do not get ready")
		}
	}
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.killAll()
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.store.Close()
	for _, d := range w.daemons {
		_ = d.log.Close()
	}
	w.mu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", w.dir)
	}
}
