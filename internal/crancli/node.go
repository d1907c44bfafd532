package crancli

import (
	"context"
	"os"

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
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return usageError{err}
	}
	if c.Check {
		return nil
	}
	return platform.Run(ctx, settings, o.out)
}
