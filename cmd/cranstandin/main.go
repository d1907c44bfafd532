// Command cranstandin runs the stand-ins of the systems around the product,
// each as a process of its own: the platform, and targets.
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

const description = `Stand-ins for the platform and for targets, with faults that are settable while they run (PUT /faults).

Each prints "listening ADDRESS" once it serves. SIGTERM or SIGINT stops it.

Exit codes: 0 stopped by a signal, 1 failed while running (such as an address in use), 2 a command line or fleet file that can't be used.`

// commands is the command line.
type commands struct {
	Platform platformCommand `cmd:"" help:"Run the platform: the log, the list of instances and the actions."`
	Target   targetCommand   `cmd:"" help:"Run a target, which registers itself with the platform."`
}

// usageError marks settings that can't be used.
type usageError struct {
	cause error
}

// Error returns the cause's text.
func (e usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e usageError) Unwrap() error { return e.cause }

func main() {
	os.Exit(runCommand(os.Args[1:], os.Stdout, os.Stderr))
}

// runCommand runs one command line and returns the exit code.
func runCommand(args []string, out, failures io.Writer) int {
	var line commands
	exited := false
	parser, err := kong.New(&line,
		kong.Name("cranstandin"),
		kong.Description(description),
		kong.Writers(out, failures),
		kong.Exit(func(int) { exited = true }),
		kong.BindTo(out, (*io.Writer)(nil)),
	)
	if err != nil {
		_, _ = fmt.Fprintln(failures, "cranstandin:", err)
		return exitFailed
	}
	selected, err := parser.Parse(args)
	if exited {
		return exitStopped
	}
	if err != nil {
		_, _ = fmt.Fprintln(failures, "cranstandin:", err)
		return exitUsage
	}
	if err := selected.Run(); err != nil {
		_, _ = fmt.Fprintln(failures, "cranstandin:", err)
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
