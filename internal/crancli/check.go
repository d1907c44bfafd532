package crancli

import (
	"errors"
	"fmt"
	"os"

	"github.com/cranberrypick/cranberrypick/internal/cransettings"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

type checkCommand struct {
	Settings string `help:"TOML settings of an entry instance." type:"path"`
	Config   string `help:"Encoded configuration of a fleet." type:"path"`
}

// Run checks the given files and reports all their faults.
func (c *checkCommand) Run(o *output) error {
	if c.Settings == "" && c.Config == "" {
		return usageError{errors.New("nothing to check; give --settings or --config")}
	}
	var errs []error
	if c.Settings != "" {
		_, err := cransettings.Load(c.Settings)
		errs = append(errs, err)
	}
	if c.Config != "" {
		_, err := loadConfig(c.Config)
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return usageError{err}
	}
	_, err := fmt.Fprintln(o.out, "no faults")
	return err
}

// loadConfig reads and decodes an encoded configuration.
func loadConfig(path string) (*cranfleet.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the configuration: %w; give the path of a readable file", err)
	}
	config, err := cranfleet.Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}
