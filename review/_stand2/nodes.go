package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// node is an entry instance, run with the command of the deploy file.
type node struct {
	name, front, ready, file, log string
	// metrics is the address on which the process serves its metrics: the first of the internal ports.
	metrics string
	command *exec.Cmd
	done    chan struct{}
}

// writeSettings writes the settings file of a node.
func (n *node) writeSettings(storeAddress, cloud, advice string) error {
	_, port, err := net.SplitHostPort(n.metrics)
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`node_name: %q
role: "entry"
machine_class: "edge"
serves:
  - "edge"
ip: "127.0.0.1"
zone: "z"
region: "r"
zones:
  z: "r"
listen:
  front: %q
  ready: %q
internal_ports:
  - %s
  - %s
bootstrap: true
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
bounds:
  contact_ms: 3000
  ack_ms: 4000
  drain_ms: 2000
  grace_s: 6
  config_apply_ms: 2000
  hold_max_ms: 6000
  stop_ms: 900
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  finish_s: 14
  status_s: 120
  save_s: 1
  restore_ms: 250
  move_s: 1.5
  upkeep_s: 2
  enforce_fencing: false
  lease_ms: 3000
orders: "call"
advice: %q
platform:
  address: %q
  form: "log"
  writes_per_s: 600
  reads_per_s: 2000
  parts: 24
  append_ms: 1.0
  record_bytes: %d
  call_bytes: 2097152
  keep_s: 20
  part_mb: 200
cloud_api:
  address: %q
  rate_per_s: 64.0
  duties: []
  duty_per_s: 64.0
`, n.name, n.front, n.ready, port, port, advice, storeAddress, recordBytes, cloud)
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// start starts the process.
func (n *node) start(program string) error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	n.command = exec.Command(program, "node")
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CRANBERRYPICK_CONFIG=" + n.file}
	n.command.Stdout, n.command.Stderr = out, out
	// The process ends with the case, however that ends.
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	done, command := make(chan struct{}), n.command
	n.done = done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// await waits until the process has ended, and kills it after a time, as the platform does.
func (n *node) await(limit time.Duration) {
	select {
	case <-n.done:
	case <-time.After(limit):
		n.signal(syscall.SIGKILL)
		<-n.done
	}
}

// isReady asks the readiness probe.
func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// newNodes prepares nodes in a folder.
func newNodes(dir string, count int) ([]*node, error) {
	var list []*node
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-z-%d", i+1)}
		for _, address := range []*string{&n.front, &n.ready, &n.metrics} {
			free, err := standin.FreeAddress()
			if err != nil {
				return nil, err
			}
			*address = free
		}
		n.file, n.log = filepath.Join(dir, n.name+".yaml"), filepath.Join(dir, n.name+".log")
		list = append(list, n)
	}
	return list, nil
}

// serve serves a handler on a free loopback port.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}
