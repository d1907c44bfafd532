package crancli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cranberrypick/cranberrypick/platform"
)

type nodeCommand struct {
	Settings string `help:"Settings file of the platform; by default the one that the environment names." type:"path" optional:""`
	Check    bool   `help:"Check the settings and stop."`
}

// Run serves jobs until ctx ends, and then stops gracefully.
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
