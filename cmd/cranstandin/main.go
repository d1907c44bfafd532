// Command cranstandin runs the simulated platform and simulated targets of
// package cranstandin, each as a separate process.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitStopped = 0
	exitFailed  = 1
	exitUsage   = 2
)

const description = `Simulates the platform and targets, with faults that can be injected at run time (PUT /faults).

Each process prints "listening ADDRESS" once it serves. SIGTERM or SIGINT stops it.

Exit codes: 0 stopped by a signal, 1 failed while running (such as an address in use), 2 an invalid command line or fleet file.`

// commands is the command line.
type commands struct {
	Platform platformCommand `cmd:"" help:"Run the platform: the log, the list of instances and the actions."`
	Target   targetCommand   `cmd:"" help:"Run a target, which registers itself with the platform."`
}

// usageError is the error of an invalid command line or fleet file.
type usageError struct {
	cause error
}

// Error implements error.
func (e usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.cause }

func main() {
	os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
}

// runCommand runs a command line and returns the exit code.
func runCommand(args []string, out, errOut io.Writer) int {
	var line commands
	exited := false
	parser, err := kong.New(&line,
		kong.Name("cranstandin"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(out, (*io.Writer)(nil)),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "cranstandin:", err)
		return exitFailed
	}
	selected, err := parser.Parse(args)
	if exited {
		return exitStopped
	}
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "cranstandin:", err)
		return exitUsage
	}
	if err := selected.Run(); err != nil {
		_, _ = fmt.Fprintln(errOut, "cranstandin:", err)
		return exitCode(err)
	}
	return exitStopped
}

// exitCode returns the exit code of a command that failed.
func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
