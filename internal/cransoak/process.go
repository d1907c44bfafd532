package cransoak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/platform"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// entry is an entry instance, a process of the real program.
type entry struct {
	name, front, ready string
	settings, log      string
	program            string
	proxy              *Proxy
	command            *exec.Cmd
	paused             bool
}

func newEntry(d *standin.Deployment, program, folder, name string) (*entry, error) {
	proxy, err := NewProxy(d.StoreAddress())
	if err != nil {
		return nil, err
	}
	e := &entry{
		name: name, program: program, proxy: proxy,
		settings: filepath.Join(folder, name+".yaml"), log: filepath.Join(folder, name+".log"),
	}
	if e.front, err = freeAddress(); err != nil {
		return nil, err
	}
	if e.ready, err = freeAddress(); err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.settings, d.Settings(name, e.front, e.ready, proxy.Address()), 0o600)
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// start starts the process; its output goes on in the log of its former lives.
func (e *entry) start() error {
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	e.command = exec.Command(e.program, "node")
	e.command.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settings)
	e.command.Stdout, e.command.Stderr = out, out
	e.paused = false
	return e.command.Start()
}

// signal sends a signal to the process that this soak has started.
func (e *entry) signal(s syscall.Signal) error {
	if e.command == nil {
		return nil
	}
	e.paused = s == syscall.SIGSTOP || e.paused && s != syscall.SIGCONT
	return e.command.Process.Signal(s)
}

// end ends the process and waits for it. A process that ends by itself with a
// failure is a finding.
func (e *entry) end(s syscall.Signal) error {
	if e.command == nil {
		return nil
	}
	if e.paused {
		if err := e.signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	failed := e.signal(s)
	err := e.command.Wait()
	e.command = nil
	if errors.Is(failed, os.ErrProcessDone) {
		return fmt.Errorf("%s ended by itself: %w; see %s", e.name, err, e.log)
	}
	var exit *exec.ExitError
	if s == syscall.SIGTERM && errors.As(err, &exit) {
		return fmt.Errorf("%s stopped with %w; see %s", e.name, err, e.log)
	}
	return failed
}

// awaitReady waits until the process takes callers.
func (e *entry) awaitReady(ctx context.Context) error {
	for !standin.IsReady(ctx, e.ready) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w; see %s", e.name, ctx.Err(), e.log)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

const readyPoll = 50 * time.Millisecond

// panicked reports whether a process has panicked in any of its lives.
func (e *entry) panicked() bool {
	text, err := os.ReadFile(e.log)
	return err != nil || strings.Contains(string(text), "panic:")
}
