package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// deployment is a small installation: entry nodes, runners, the store, the list of machines and a service
// for advice.
type deployment struct {
	record  *record
	store   *store
	world   *world
	nodes   []*node
	dir     string
	program string
	trouble bool
	// version is that of the newest configuration.
	version int
	stop    chan struct{}
	next    int
	client  *http.Client
}

const host = "q.example"

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	attempts              int
	advice                map[string]any
	priority              int
}

// newDeployment starts the stand-ins and prepares three nodes.
func newDeployment(caseDir, program string, runners []*runner, advice http.Handler) (*deployment, error) {
	r, err := newRecord(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, store: newStore(r), dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", stop: make(chan struct{}),
		client: &http.Client{Timeout: 3 * time.Second},
	}
	d.world = &world{record: r, store: d.store, cpu: map[string]int{}}
	r.say("trouble: %t", d.trouble)
	storeAddress, err := serve(d.store)
	if err != nil {
		return nil, err
	}
	cloud, err := serve(http.HandlerFunc(d.machines))
	if err != nil {
		return nil, err
	}
	if advice == nil {
		advice = http.NotFoundHandler()
	}
	adviceAddress, err := serve(advice)
	if err != nil {
		return nil, err
	}
	for _, w := range runners {
		if err := d.world.addRunner(w); err != nil {
			return nil, err
		}
	}
	go d.world.run(d.stop)
	if d.nodes, err = newNodes(dir, 3); err != nil {
		return nil, err
	}
	for _, n := range d.nodes {
		if err := n.writeSettings(storeAddress, cloud, adviceAddress); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// machines answers the list of machines. No order about them is due: there is one service, and no wave.
func (d *deployment) machines(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/machines" {
		respond(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	d.world.mu.Lock()
	list := []map[string]any{}
	for _, o := range d.world.runners {
		m := map[string]any{
			"machine": o.machine, "pool": o.service, "state": "up", "zone": "z", "labels": []string{"a", o.rack},
			"capacity": map[string]int{"cpu": o.cpu, "mem_mb": o.memMB, "gpu": 0}, "id": o.id,
		}
		list = append(list, m)
	}
	d.world.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

// configure publishes a configuration with some routes.
func (d *deployment) configure(routes ...route) {
	d.version += 3
	list := []map[string]any{}
	services := map[string]bool{}
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 600,
			"priority": r.priority, "service": r.service, "attempts": r.attempts, "stretch": 1.6,
		}
		if r.advice != nil {
			m["advice"] = r.advice
		}
		list = append(list, m)
		services[r.service] = true
	}
	for _, r := range d.world.runners {
		services[r.service] = true
	}
	named := []map[string]any{}
	for s := range services {
		named = append(named, map[string]any{"name": s, "health_path": "/health", "max_conns": 64, "rejects_overload": false, "standby": false})
	}
	d.store.putJSON("keyed.op", "config", map[string]any{"version": d.version, "routes": list, "services": named, "limits": map[string]any{}})
	d.record.add("operator: configuration %d with %d routes is stored", d.version, len(routes))
}

// startNodes starts all nodes and waits until they are ready.
func (d *deployment) startNodes() error {
	for _, n := range d.nodes {
		if err := n.start(d.program); err != nil {
			return err
		}
	}
	return d.awaitReady(20 * time.Second)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.say("all nodes are ready")
	// Traffic starts some time after the machines do.
	time.Sleep(3 * time.Second)
	return nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.command != nil {
			n.signal(syscall.SIGTERM)
		}
	}
	for _, n := range d.nodes {
		if n.command != nil {
			n.await(6 * time.Second)
		}
	}
	close(d.stop)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// call sends one request to a node and returns the status; 0 without an answer.
func (d *deployment) call(n *node, method, path string, body []byte) (int, []byte) {
	request, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("X-Cranberrypick-Deadline-Ms", "3000")
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// step is a step of a job.
type step map[string]any

// submit hands a job in, with up to five attempts at nodes in turn, and reports whether it was accepted.
func (d *deployment) submit(path string, does behaviour, steps ...step) bool {
	spec, _ := json.Marshal(does)
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps})
	for range 5 {
		d.next++
		n := d.nodes[d.next%len(d.nodes)]
		status, _ := d.call(n, http.MethodPost, path, body)
		d.record.add("POST %s at %s -> %d", path, n.name, status)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, with up to five attempts.
func (d *deployment) state(path string) (string, int) {
	status := 0
	for range 5 {
		d.next++
		n := d.nodes[d.next%len(d.nodes)]
		var text []byte
		status, text = d.call(n, http.MethodGet, path, nil)
		d.record.add("GET %s at %s -> %d %s", path, n.name, status, bytes.TrimSpace(text))
		if status == http.StatusOK || status == http.StatusGone || status == http.StatusNotFound {
			var w struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(text, &w)
			return w.State, status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", status
}

// startsOf returns the starts of a job's subtasks so far.
func (w *world) startsOf(job string) []start {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []start
	for _, s := range w.starts {
		if len(s.task) > len(job) && s.task[:len(job)] == job {
			list = append(list, s)
		}
	}
	return list
}

// endsOf returns the ends of a job's runs so far.
func (w *world) endsOf(job string) []end {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []end
	for _, e := range w.ends {
		if len(e.task) > len(job) && e.task[:len(job)] == job {
			list = append(list, e)
		}
	}
	return list
}

// owner returns the node that gives the orders, by the metrics of the nodes.
func (d *deployment) owner() (*node, error) {
	for _, n := range d.nodes {
		response, err := d.client.Get("http://" + n.metrics + "/metrics")
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for _, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, "cranberrypick_owned_shards ") && !strings.HasSuffix(line, " 0") {
				return n, nil
			}
		}
	}
	return nil, fmt.Errorf("no node gives orders")
}

// disrupted records that the deployment is disrupted now, and counts as such for some time.
func (w *world) disrupted(near time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calmFrom = time.Now().Add(near)
}

// startedAgain counts the starts of a job's subtasks after a run of the same subtask had ended as done, if that end
// was taken note of: by `observed`, or as the runner has listed it with no disruption near.
func (w *world) startedAgain(job string) int {
	starts, ends := w.startsOf(job), w.endsOf(job)
	doneAt := map[string]time.Time{}
	for _, e := range ends {
		if at, known := doneAt[e.task]; e.how == "done" && (e.noted || e.listedCalm) && (!known || e.at.Before(at)) {
			doneAt[e.task] = e.at
		}
	}
	count := 0
	for _, s := range starts {
		if at, known := doneAt[s.task]; known && s.at.After(at) {
			count++
			if count <= 5 {
				w.record.say("%s run %d starts on %s %v after an earlier run had ended as done", s.task, s.run, s.runner, s.at.Sub(at).Round(time.Millisecond))
			}
		}
	}
	return count
}
