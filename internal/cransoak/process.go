package cransoak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
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
	// lifecycle is held by the fault that stops and starts the process.
	lifecycle sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// command is nil while no process runs. paused is true while a fault has stopped it.
	command  *exec.Cmd
	paused   bool
	throttle throttle
}

// bytesPerMegabit is 1 Mbit in bytes.
const bytesPerMegabit = 125_000

// newEntry starts the proxy of an entry instance and writes the settings file. It does
// not start the process.
func newEntry(d *standin.Deployment, program, dir, name string, options ...standin.SettingsOption) (*entry, error) {
	proxy, err := NewProxy(d.StoreAddress())
	if err != nil {
		return nil, err
	}
	e := &entry{
		name: name, program: program, proxy: proxy,
		settingsFile: filepath.Join(dir, name+".yaml"), logFile: filepath.Join(dir, name+".log"),
	}
	// The checks read the log, so it must not be that of another soak.
	if err := os.Remove(e.logFile); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	if e.frontAddress, err = standin.FreeAddress(); err != nil {
		return nil, err
	}
	if e.readyAddress, err = standin.FreeAddress(); err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.settingsFile, d.Settings(name, e.frontAddress, e.readyAddress, proxy.Address(), options...), 0o600)
}

// limit makes the process and its link as slow as a machine. It must be called before start.
func (e *entry) limit(m standin.Machine) {
	e.throttle.quota = time.Duration(m.Cores * float64(throttlePeriod))
	if m.LinkMbps > 0 {
		e.proxy.SetLink(m.LinkMbps * bytesPerMegabit)
	}
}

// start starts the process and appends its output to the log of its earlier runs.
func (e *entry) start() error {
	output, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.command = exec.Command(e.program, "node")
	e.command.Env = append(os.Environ(), platform.SettingsVariable+"="+e.settingsFile)
	e.command.Stdout, e.command.Stderr = output, output
	e.paused = false
	e.throttle = throttle{quota: e.throttle.quota, periodEnd: time.Now()}
	if err := e.command.Start(); err != nil {
		e.command = nil
		return err
	}
	return nil
}

// signal sends a signal to the process, if there is one, and records whether the
// process is paused.
func (e *entry) signal(s syscall.Signal) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command == nil {
		return nil
	}
	e.paused = s == syscall.SIGSTOP || e.paused && s != syscall.SIGCONT
	if s == syscall.SIGCONT {
		e.throttle.stopped = false
	}
	return e.command.Process.Signal(s)
}

// terminate sends a signal that ends the process and waits until it has exited. A
// paused process is resumed first, so that it can handle the signal. It returns an
// error if the process had exited by itself or failed to stop gracefully.
func (e *entry) terminate(s syscall.Signal) error {
	e.mu.Lock()
	command, paused := e.command, e.paused || e.throttle.stopped
	e.mu.Unlock()
	if command == nil {
		return nil
	}
	if paused {
		if err := e.signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	signalErr := e.signal(s)
	err := command.Wait()
	e.mu.Lock()
	e.command = nil
	e.mu.Unlock()
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
