package main

import (
	"io"
	"net/http"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// platformCommand runs the platform.
type platformCommand struct {
	Listen    string        `required:"" placeholder:"ADDR" help:"Address to serve on, such as 127.0.0.1:7000; port 0 picks a free one."`
	Retention int           `default:"100000" placeholder:"N" help:"Number of records that each stream keeps (${default})."`
	MaxAge    time.Duration `default:"0s" help:"Age at which records expire; with 0s only --retention limits them."`
	Fleet     string        `placeholder:"FILE.toml" help:"File with the durations of fleet actions and the initial instances."`
}

// Run serves the platform until SIGTERM or SIGINT.
func (c *platformCommand) Run(out io.Writer) error {
	settings, err := loadFleet(c.Fleet)
	if err != nil {
		return usageError{cause: err}
	}
	control := cranstandin.ProcessControllers(&http.Client{})
	platform := cranstandin.NewPlatform(
		cranstandin.WithLogOptions(cranstandin.WithRetention(c.Retention), cranstandin.WithMaxAge(c.MaxAge)),
		cranstandin.WithFleetOptions(append(settings.options(), cranstandin.WithControllerLookup(control))...),
	)
	if err := settings.register(platform.Fleet()); err != nil {
		_ = platform.Close()
		return usageError{cause: err}
	}
	s := &server{
		handler:    platform,
		beforeStop: platform.Close,
	}
	return s.run(c.Listen, out)
}
