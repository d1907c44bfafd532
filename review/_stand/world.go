package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/platform/standin"
)

const (
	heartbeat  = 1500 * time.Millisecond
	queueHost  = "q.example"
	queuePath  = "/jobs/"
	callerWait = 3 * time.Second
)

// world is a small deployment: the platform's store, runners, machines and entry instances.
type world struct {
	rec     *record
	store   *standin.Store
	cloud   *cloud
	advice  *advice
	runners []*runner
	entries []*entryProcess
	dir     string
	trouble bool
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	group   sync.WaitGroup

	storeAddress, cloudAddress, adviceAddress string
	mu                                        sync.Mutex
	sequence                                  int
}

// entryProcess is a process of the program under test.
type entryProcess struct {
	name, front, ready string
	program, settings  string
	log                *os.File
	command            *exec.Cmd
}

// start starts the process.
func (e *entryProcess) start() error {
	e.command = exec.Command(e.program, "node")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CRANBERRYPICK_CONFIG=" + e.settings}
	e.command.Stdout, e.command.Stderr = e.log, e.log
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return e.command.Start()
}

// restart ends the process with SIGTERM, or with SIGKILL after the grace period, and starts it again.
func (w *world) restart(e *entryProcess) error {
	const grace = 6 * time.Second
	w.rec.add("entry %s: SIGTERM", e.name)
	kill := time.AfterFunc(grace, func() { _ = e.command.Process.Kill() })
	_ = e.command.Process.Signal(syscall.SIGTERM)
	_ = e.command.Wait()
	kill.Stop()
	if err := e.start(); err != nil {
		return err
	}
	w.rec.add("entry %s: started again", e.name)
	return w.awaitReady(e)
}

func (w *world) awaitReady(e *entryProcess) error {
	for limit := time.Now().Add(15 * time.Second); !standin.IsReady(w.ctx, e.ready); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	return nil
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return l.Addr().String(), nil
}

func newWorld(rec *record, trouble bool) (*world, error) {
	w := &world{rec: rec, store: standin.NewStore(), trouble: trouble, client: &http.Client{Timeout: callerWait}}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if w.storeAddress, err = serve(w.store); err != nil {
		return nil, err
	}
	w.cloud = newCloud(w)
	if w.cloudAddress, err = serve(w.cloud); err != nil {
		return nil, err
	}
	w.advice = newAdvice(w)
	w.adviceAddress, err = serve(w.advice)
	return w, err
}

// close ends every process that the world has started.
func (w *world) close() {
	w.cancel()
	for _, e := range w.entries {
		_ = e.command.Process.Kill()
		_ = e.command.Wait()
	}
	w.group.Wait()
	for _, r := range w.runners {
		r.crash()
	}
	_ = os.RemoveAll(w.dir)
}

// addRunner starts a runner, which writes its entry at once and every heartbeat.
func (w *world) addRunner(r *runner) error {
	r.rec = w.rec
	if err := r.boot(); err != nil {
		return err
	}
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	w.write(r)
	w.group.Go(func() {
		for {
			select {
			case <-w.ctx.Done():
				return
			case <-time.After(heartbeat):
			}
			w.write(r)
		}
	})
	return nil
}

// write writes a runner's entry to the store.
func (w *world) write(r *runner) {
	w.mu.Lock()
	w.sequence++
	n := w.sequence
	w.mu.Unlock()
	if text := r.entry(n, "ready"); text != nil {
		w.store.Put("keyed.servers", r.id, text)
	}
}

// route is a queue of the configuration.
type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"path_prefix"`
	Service   string  `json:"service"`
	Priority  int     `json:"priority"`
	Attempts  int     `json:"attempts"`
	Stretch   float64 `json:"stretch"`
	LatencyMs int     `json:"target_latency_ms"`
	// Advice is set if the starts of the queue need tickets.
	Advice map[string]int64 `json:"advice,omitempty"`
}

// configure writes a configuration with one queue for each service that isn't a standby one.
func (w *world) configure(version, attempts int, services []string, standby string) {
	var routes []route
	for _, s := range services {
		routes = append(routes, route{"q-" + s, queueHost, queuePath + s + "/", s, 0, attempts, 1.6, 600, nil})
	}
	w.publish(version, routes, services, standby)
}

// publish writes a configuration.
func (w *world) publish(version int, routes []route, services []string, standby string) {
	var pools []map[string]any
	for _, s := range services {
		pools = append(pools, map[string]any{"name": s})
	}
	if standby != "" {
		pools = append(pools, map[string]any{"name": standby, "standby": true})
	}
	text, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": pools, "limits": map[string]any{}})
	w.store.Put("keyed.op", "config", text)
	w.rec.add("operator: configuration %d with %d routes", version, len(routes))
}

// startEntries starts entry instances and waits until all are ready.
func (w *world) startEntries(program string, count int) error {
	for i := range count {
		name := fmt.Sprintf("edge-%c-1", 'a'+i)
		var addresses [4]string
		for k := range addresses {
			address, err := standin.FreeAddress()
			if err != nil {
				return err
			}
			addresses[k] = address
		}
		_, port, _ := net.SplitHostPort(addresses[3])
		settings := fmt.Sprintf(settingsText, name, addresses[0], addresses[1], addresses[2], port, w.adviceAddress, w.storeAddress, w.cloudAddress)
		path := filepath.Join(w.dir, name+".yaml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(w.dir, name+".log"))
		if err != nil {
			return err
		}
		e := &entryProcess{name: name, front: addresses[0], ready: addresses[1], program: program, settings: path, log: log}
		if err := e.start(); err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		w.rec.add("entry %s: started, front %s", name, e.front)
	}
	for _, e := range w.entries {
		if err := w.awaitReady(e); err != nil {
			return err
		}
	}
	w.rec.add("all entries are ready")
	return nil
}

// keepLogs copies the logs of the entries beside the record.
func (w *world) keepLogs(dir string) {
	for _, e := range w.entries {
		text, _ := os.ReadFile(filepath.Join(w.dir, e.name+".log"))
		_ = os.WriteFile(filepath.Join(dir, e.name+".log"), text, 0o600)
	}
}

// submit hands a job in until it is accepted, at one entry after the other.
func (w *world) submit(id, service string, job map[string]any) bool {
	text, _ := json.Marshal(job)
	for try := range 12 {
		e := w.entries[(try+int(id[15]))%len(w.entries)]
		status, _ := w.call(http.MethodPost, e, queuePath+service+"/"+id, text)
		w.rec.add("requester: POST %s at %s: %d", id, e.name, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (w *world) state(id, service string) string {
	for _, e := range w.entries {
		status, text := w.call(http.MethodGet, e, queuePath+service+"/"+id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(text, &answer) == nil {
			w.rec.add("requester: GET %s at %s: %s", id, e.name, answer.State)
			return answer.State
		}
		w.rec.add("requester: GET %s at %s: %d", id, e.name, status)
	}
	return ""
}

func (w *world) call(method string, e *entryProcess, path string, body []byte) (int, []byte) {
	q, err := http.NewRequestWithContext(w.ctx, method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Host = queueHost
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Cranberrypick-Deadline-Ms", "3000")
	answer, err := w.client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// settingsText is a settings file as the pages describe it, with the bounds of a small deployment.
var settingsText = strings.TrimPrefix(`
node_name: %q
role: "entry"
machine_class: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "z-a"
region: "r-a"
zones: {z-a: "r-a"}
listen: {front: %q, ready: %q, control: %q}
internal_ports: [%s, 0]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6,
  loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, recovery_s: 12, hold_max_ms: 6000,
  stop_ms: 900, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120,
  far_factor: 2, save_s: 1, restore_ms: 250, notice_ms: 4500, move_s: 1.5, upkeep_s: 2, enforce_fencing: false,
  lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000}
orders: "call"
advice: %q
platform: {address: %q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: 24, append_ms: 1.0, partition_mb_s: 20.0,
  read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, part_mb: 200, ttl_min_ms: 1000}
cloud_api: {address: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`, "\n")
