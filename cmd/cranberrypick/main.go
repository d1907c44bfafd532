// Command cranberrypick runs entry instances and has the operator's commands
// that check, publish and carry out changes of the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberrypick/cranberrypick/internal/crancli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := crancli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
