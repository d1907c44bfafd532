package crancli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberrypick/cranberrypick/platform"
)

type nodeCommand struct {
	Settings string `help:"Settings file in the platform's format; by default the one that the environment variable CRANBERRYPICK_CONFIG names." type:"path" optional:""`
	Check    bool   `help:"Check the settings and stop."`
}

// Run runs the entry instance until ctx is cancelled, and stops it gracefully.
func (c *nodeCommand) Run(ctx context.Context, o *output) error {
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if _, err := platform.LoadSettings(path); err != nil {
		return usageError{err}
	}
	if c.Check {
		return nil
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return platform.Run(ctx, path, o.out, reload)
}
