package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// Limits of the store, as in the example of the settings file.
const (
	recordBytes = 262144
	callBytes   = 2097152
)

// contracts are those of a small deployment.
const contracts = `"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"`

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// deployment is a small deployment on loopback addresses: the store, the list of machines, the service of advice, the
// runners, and entry instances as processes.
type deployment struct {
	*world
	store   *standin.Store
	dir     string
	cloud   string
	advice  string
	nodes   []*entry
	writer  atomic.Int32
	refused atomic.Int64
	largest atomic.Int64
	version int
	// due holds the waves of each machine, and kept the upkeeps that are done.
	due  map[string][]int
	kept map[string]bool
	// contracts lists the parts of the rules that are in force.
	contracts string
	stopBeat  chan struct{}
}

// entry is an entry instance.
type entry struct {
	number              int
	front, ready, store string
	settings            string
	command             *exec.Cmd
	out                 *os.File
	exited              chan struct{}
}

func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

func newDeployment(r *record) (*deployment, error) {
	d := &deployment{
		world: newWorld(r), store: standin.NewStore(), stopBeat: make(chan struct{}), contracts: contracts,
		due: map[string][]int{}, kept: map[string]bool{},
	}
	d.writer.Store(-1)
	var err error
	if d.dir, err = os.MkdirTemp("", "cranreview"); err != nil {
		return nil, err
	}
	if d.cloud, err = listen(http.HandlerFunc(d.serveCloud)); err != nil {
		return nil, err
	}
	d.advice, err = listen(http.HandlerFunc(d.serveAdvice))
	return d, err
}

// storeOf returns the store as one entry instance reaches it. It refuses records and calls above the limits, and
// remembers which instance last wrote under a condition.
func (d *deployment) storeOf(number int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/log-append" {
			body, err := io.ReadAll(q.Body)
			if err != nil {
				return
			}
			if n := largestRecord(body); n > recordBytes || len(body) > callBytes {
				if d.refused.Add(1) <= 5 {
					d.record.say("the store refuses a record of %d bytes of entry %d: the limit is %d", n, number, recordBytes)
				}
				writeJSON(w, http.StatusBadRequest, map[string]string{"reason": "size"})
				return
			} else if int64(n) > d.largest.Load() {
				d.largest.Store(int64(n))
			}
			if strings.HasPrefix(q.URL.Query().Get("producer"), "scheduler") {
				d.writer.Store(int32(number))
			}
			q.Body = io.NopCloser(bytes.NewReader(body))
		}
		d.store.ServeHTTP(w, q)
	})
}

func largestRecord(body []byte) int {
	largest := 0
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		largest = max(largest, n)
		if len(body) < 4+n {
			break
		}
		body = body[4+n:]
	}
	return largest
}

// serveCloud serves the list of machines, and carries out moves and upkeeps.
func (d *deployment) serveCloud(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/machines":
		d.listMachines(w)
	case "/machine-move":
		var m struct{ Machine, Pool string }
		if json.NewDecoder(q.Body).Decode(&m) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.moveMachine(w, m.Machine, m.Pool)
	case "/machine-upkeep":
		var m struct {
			Machine string
			Wave    int
		}
		if json.NewDecoder(q.Body).Decode(&m) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.upkeep(w, m.Machine, m.Wave)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (d *deployment) listMachines(w http.ResponseWriter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rows := []map[string]any{}
	for _, r := range d.runners {
		row := map[string]any{
			"machine": r.machine, "pool": r.service, "state": "up", "zone": "z-a", "labels": []string{"a", r.rack},
			"capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "id": r.id,
		}
		if r.dead {
			row["state"], row["id"] = "down", ""
		}
		if r.state != "" {
			row["state"] = r.state
		}
		rows = append(rows, row)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
}

// moveMachine ends everything that runs on a machine. A new runner joins the pool after moveTime.
func (d *deployment) moveMachine(w http.ResponseWriter, machine, pool string) {
	d.mu.Lock()
	var r *runner
	known := false
	for _, other := range d.runners {
		if other.machine == machine {
			r = other
		}
		known = known || other.service == pool
	}
	switch {
	case r == nil || !known:
		d.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.service == pool:
		d.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	case r.dead:
		d.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	d.record.say("machine %s moves from %s to %s", machine, r.service, pool)
	r.state = "moving"
	d.mu.Unlock()
	d.renew(r, pool, moveTime)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// renew ends a runner, and lets a new one of its machine join a pool after a time.
func (d *deployment) renew(r *runner, pool string, after time.Duration) {
	r.crash()
	d.store.Put("keyed.servers", r.id, nil)
	time.AfterFunc(after, func() {
		d.mu.Lock()
		r.lives++
		r.id, r.service, r.state = fmt.Sprintf("%s-%d", r.machine[len("m-"):], r.lives), pool, ""
		d.mu.Unlock()
		if err := r.begin("127.0.0.1:0"); err != nil {
			d.record.say("the new runner of %s didn't start: %v", r.machine, err)
		}
	})
}

// askWave asks for the upkeep of machines, at most limit at a time, as the operator does.
func (d *deployment) askWave(number int, machines []string, duration, limit int) {
	text, _ := json.Marshal(map[string]any{"wave": number, "machines": machines, "duration_s": duration, "cap": limit})
	d.mu.Lock()
	for _, m := range machines {
		d.due[m] = append(d.due[m], number)
	}
	d.mu.Unlock()
	d.record.say("the operator asks for wave %d: %s", number, text)
	d.store.Put("keyed.op", fmt.Sprintf("wave/%d", number), text)
}

// status returns the newest record under a key of the statuses.
func (d *deployment) status(key string) string {
	w := httptest.NewRecorder()
	d.store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/log-newest?topic=keyed.status&part=0", nil))
	var page struct {
		Items []struct {
			Key   string
			Value []byte
		}
	}
	_ = json.Unmarshal(w.Body.Bytes(), &page)
	for _, item := range page.Items {
		if item.Key == key {
			return string(item.Value)
		}
	}
	return "unknown"
}

// upkeep carries out the upkeep of a machine for a wave, once.
func (d *deployment) upkeep(w http.ResponseWriter, machine string, wave int) {
	d.mu.Lock()
	var r *runner
	for _, other := range d.runners {
		if other.machine == machine {
			r = other
		}
	}
	key := fmt.Sprintf("%s/%d", machine, wave)
	reason := ""
	switch {
	case r == nil:
		d.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	case !slices.Contains(d.due[machine], wave):
		reason = "wave"
	case d.kept[key]:
		d.mu.Unlock()
		d.record.say("upkeep of %s for wave %d: 200, it is already done", machine, wave)
		writeJSON(w, http.StatusOK, map[string]any{})
		return
	case r.dead:
		reason = "busy"
	}
	if reason != "" {
		d.mu.Unlock()
		d.record.say("upkeep of %s for wave %d: 409 %s", machine, wave, reason)
		writeJSON(w, http.StatusConflict, map[string]string{"reason": reason})
		return
	}
	d.kept[key] = true
	r.state = "upkeep"
	d.record.say("upkeep of %s for wave %d begins", machine, wave)
	d.mu.Unlock()
	d.renew(r, r.service, upkeepTime)
	writeJSON(w, http.StatusOK, map[string]any{})
}

// serveAdvice lets every worker run every step.
func (d *deployment) serveAdvice(w http.ResponseWriter, q *http.Request) {
	var m struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(q.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	good := [][2]string{}
	d.mu.Lock()
	for _, id := range m.Workers {
		ticket := "t-" + m.Step + "-" + id
		d.tickets[ticket+" "+id] = true
		good = append(good, [2]string{id, ticket})
	}
	d.mu.Unlock()
	d.record.say("advice for step %s on %d workers", m.Step, len(m.Workers))
	time.Sleep(20 * time.Millisecond)
	writeJSON(w, http.StatusOK, map[string]any{"good": good})
}

// publish writes the next version of the configuration.
func (d *deployment) publish(config map[string]any) {
	d.version += 3
	config["version"] = d.version
	config["limits"] = map[string]any{}
	text, _ := json.Marshal(config)
	d.store.Put("keyed.op", "config", text)
	d.record.say("the operator's version %d is acknowledged: %.600s", d.version, text)
}

// beat keeps the entries of the runners in the store. The entry of a crashed runner is removed after three intervals.
func (d *deployment) beat() {
	silent := map[string]int{}
	for {
		d.mu.Lock()
		for _, r := range d.runners {
			switch {
			case !r.dead:
				silent[r.id] = 0
				d.store.Put("keyed.servers", r.id, r.entry())
			case r.state != "":
			case silent[r.id] < 3:
				if silent[r.id]++; silent[r.id] == 3 {
					d.store.Put("keyed.servers", r.id, nil)
				}
			}
		}
		d.mu.Unlock()
		select {
		case <-d.stopBeat:
			return
		case <-time.After(heartbeatTime):
		}
	}
}

// settle ends what is due on all runners, also while nobody calls them.
func (d *deployment) settle() {
	for {
		select {
		case <-d.stopBeat:
			return
		case <-time.After(20 * time.Millisecond):
		}
		d.mu.Lock()
		for _, r := range d.runners {
			if !r.dead {
				r.advance()
			}
		}
		d.mu.Unlock()
	}
}

const settingsText = `node_name: "edge-%[1]d"
role: "entry"
machine_class: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "z-a"
region: "r"
zones: {z-a: "r"}
listen: {front: %[2]q, ready: %[3]q}
internal_ports: [%[4]d, %[4]d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: [%[8]s]
fault_tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_skew_ms: 5000, strict_revoke: true, revoke_ms: 5000, recovery_s: 12, hold_max_ms: 6000, stop_ms: 900, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, far_factor: 2, save_s: 1, restore_ms: 250, notice_ms: 4500, move_s: 1.5, upkeep_s: 2, enforce_fencing: false, lease_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000}
orders: "call"
advice: %[5]q
platform: {address: %[6]q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: 24, append_ms: 1.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, part_mb: 200, ttl_min_ms: 1000}
cloud_api: {address: %[7]q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}
`

// addEntry starts an entry instance with the command of the deploy file.
func (d *deployment) addEntry(number int) error {
	e := &entry{number: number}
	addresses := make([]string, 3)
	for i := range addresses {
		a, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		addresses[i] = a
	}
	var err error
	if e.store, err = listen(d.storeOf(number)); err != nil {
		return err
	}
	e.front, e.ready = addresses[0], addresses[1]
	var port int
	if _, err := fmt.Sscanf(addresses[2][strings.LastIndex(addresses[2], ":")+1:], "%d", &port); err != nil {
		return err
	}
	e.settings = filepath.Join(d.dir, fmt.Sprintf("node%d.yaml", number))
	text := fmt.Sprintf(settingsText, number, e.front, e.ready, port, d.advice, e.store, d.cloud, d.contracts)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return err
	}
	if e.out, err = os.Create(filepath.Join(d.dir, fmt.Sprintf("node%d.log", number))); err != nil {
		return err
	}
	d.nodes = append(d.nodes, e)
	return d.startEntry(e)
}

func (d *deployment) startEntry(e *entry) error {
	command := exec.Command(program, "node")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C.UTF-8", "CRANBERRYPICK_CONFIG=" + e.settings}
	command.Stdout, command.Stderr = e.out, e.out
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.command, e.exited = command, exited
	d.record.say("entry %d starts (process %d)", e.number, command.Process.Pid)
	go func() { _ = command.Wait(); close(exited) }()
	return nil
}

// kill ends an entry instance without notice, and starts it again after a time.
func (d *deployment) kill(e *entry, down time.Duration) error {
	d.record.say("entry %d is killed", e.number)
	_ = e.command.Process.Kill()
	<-e.exited
	time.Sleep(down)
	return d.startEntry(e)
}

// owner returns the entry instance that last wrote to the store under a condition.
func (d *deployment) owner() *entry { return d.nodes[max(d.writer.Load(), 0)] }

func (d *deployment) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range d.nodes {
			if r, err := client.Get("http://" + e.ready + "/ready"); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.nodes) {
			d.record.say("all entries are ready")
			return true
		}
	}
	return false
}

// close ends all processes.
func (d *deployment) close() {
	close(d.stopBeat)
	for _, e := range d.nodes {
		_ = e.command.Process.Signal(syscall.SIGKILL)
		<-e.exited
		_ = e.out.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(d.dir, keep)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// call sends a requester's request to an entry instance.
func (d *deployment) call(e *entry, method, path, key string, body any) (int, string) {
	text := []byte(nil)
	if body != nil {
		text, _ = json.Marshal(body)
	}
	q, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader(text))
	if err != nil {
		return 0, ""
	}
	q.Host = "q.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Cranberrypick-Deadline-Ms", "3000")
	if key != "" {
		q.Header.Set("X-Cranberrypick-Key", key)
	}
	r, err := (&http.Client{Timeout: 3 * time.Second}).Do(q)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = r.Body.Close() }()
	answer, _ := io.ReadAll(r.Body)
	return r.StatusCode, strings.TrimSpace(string(answer))
}

// ask sends a request until it is answered other than by a refusal for now, at one entry instance after the other.
func (d *deployment) ask(method, path, key string, body any) (int, string) {
	status, answer := 0, ""
	for i := range 12 {
		e := d.nodes[i%len(d.nodes)]
		status, answer = d.call(e, method, path, key, body)
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusGatewayTimeout {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	d.record.say("%s %s key %q -> %d %s", method, path, key, status, answer)
	return status, answer
}
