// Command tenants shows what a tenant of the job service gets while another one sends many times its entitlement. It
// runs two entry instances, and stand-ins for the store and the targets, in one process on the loopback interface.
//
// For each tenant it prints the jobs before, during and after the burst. It also sends a request without a key, and
// replaces the key of a tenant whose callers go on meanwhile. The exit code is 1 if a job of the tenant within its
// entitlement wasn't accepted, or if an accepted job of either tenant was lost.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

type options struct {
	Length  time.Duration `default:"5s" help:"Length of the burst, and of the times before and after it."`
	Verbose bool          `short:"v" help:"Print the logs of the entry instances on standard error."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Shows what a tenant gets while another one sends many times its entitlement."))
	log := io.Discard
	if o.Verbose {
		log = os.Stderr
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, o.Length, os.Stdout, log)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
