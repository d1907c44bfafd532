package cransoak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/platform"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// entry is an entry instance, which runs as a process of the program under test.
type entry struct {
	// frontAddress is the address for callers, readyAddress that of the readiness probe.
	name, frontAddress, readyAddress string
	settingsFile, logFile            string
	program                          string
	// proxy forwards the connections of the process to the platform's store.
	proxy *Proxy
	// command is nil while no process runs.
	command *exec.Cmd
	paused  bool
}

// newEntry starts the proxy of an entry instance and writes the settings file. It does
// not start the process.
func newEntry(d *standin.Deployment, program, dir, name string) (*entry, error) {
	proxy, err := NewProxy(d.StoreAddress())
	if err != nil {
		return nil, err
	}
	e := &entry{
		name: name, program: program, proxy: proxy,
		settingsFile: filepath.Join(dir, name+".yaml"), logFile: filepath.Join(dir, name+".log"),
	}
	if e.frontAddress, err = standin.FreeAddress(); err != nil {
		return nil, err
	}
	if e.readyAddress, err = standin.FreeAddress(); err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.settingsFile, d.Settings(name, e.frontAddress, e.readyAddress, proxy.Address()), 0o600)
}

// start starts the process and appends its output to the log of its earlier runs.
func (e *entry) start() error {
	output, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	e.command = exec.Command(e.program, "node")
	e.command.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settingsFile)
	e.command.Stdout, e.command.Stderr = output, output
	e.paused = false
	return e.command.Start()
}

// signal sends a signal to the process, if there is one, and records whether the
// process is paused.
func (e *entry) signal(s syscall.Signal) error {
	if e.command == nil {
		return nil
	}
	e.paused = s == syscall.SIGSTOP || e.paused && s != syscall.SIGCONT
	return e.command.Process.Signal(s)
}

// terminate sends a signal that ends the process and waits until it has exited. A
// paused process is resumed first, so that it can handle the signal. It returns an
// error if the process had exited by itself or failed to stop gracefully.
func (e *entry) terminate(s syscall.Signal) error {
	if e.command == nil {
		return nil
	}
	if e.paused {
		if err := e.signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	signalErr := e.signal(s)
	err := e.command.Wait()
	e.command = nil
	if errors.Is(signalErr, os.ErrProcessDone) {
		return fmt.Errorf("%s exited by itself: %w; see %s", e.name, err, e.logFile)
	}
	var exit *exec.ExitError
	if s == syscall.SIGTERM && errors.As(err, &exit) {
		return fmt.Errorf("%s failed on SIGTERM: %w; see %s", e.name, err, e.logFile)
	}
	return signalErr
}

// awaitReady waits until the readiness probe of the process succeeds.
func (e *entry) awaitReady(ctx context.Context) error {
	for !standin.IsReady(ctx, e.readyAddress) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %w; see %s", e.name, ctx.Err(), e.logFile)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// readyPollInterval is the interval between readiness probes.
const readyPollInterval = 50 * time.Millisecond

// panicked reports whether any run of the process has panicked, or the log can't be
// read.
func (e *entry) panicked() bool {
	text, err := os.ReadFile(e.logFile)
	return err != nil || strings.Contains(string(text), "panic:")
}
