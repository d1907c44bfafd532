package main

import (
	"context"
	"io"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

const (
	// registerAttempts limits the attempts to register with the platform.
	registerAttempts = 60
	// registerPause is the time between two attempts.
	registerPause = 250 * time.Millisecond
	// deregisterTimeout limits the call that deregisters at a stop.
	deregisterTimeout = 2 * time.Second
)

// targetCommand runs a target.
type targetCommand struct {
	Listen      string        `required:"" placeholder:"ADDR" help:"Address to serve on, such as 127.0.0.1:7100; port 0 picks a free one."`
	ID          string        `required:"" help:"Id of the instance."`
	Slots       int           `default:"8" help:"Number of requests that run at once (${default})."`
	Connections int           `default:"64" help:"Number of connections that the target accepts (${default})."`
	Platform    string        `placeholder:"URL" help:"Platform to register with, such as http://127.0.0.1:7000; without it the target doesn't register."`
	Advertise   string        `placeholder:"ADDR" help:"Address to register; by default the address that it serves on."`
	Domain      string        `default:"rack1" help:"Failure domain (${default})."`
	DataCentre  string        `default:"dc1" help:"Data centre (${default})."`
	Pool        string        `placeholder:"P" help:"Pool that the instance starts in."`
	Service     time.Duration `default:"20ms" help:"Duration of a run without the header X-Service-Ms (${default})."`
	Down        time.Duration `default:"3s" help:"Down time of a reboot call without downMs (${default})."`
}

// Run serves the target until SIGTERM or SIGINT.
func (c *targetCommand) Run(out io.Writer) error {
	target := cranstandin.NewTarget(c.ID, c.Slots, c.Connections,
		cranstandin.WithServiceTime(c.Service), cranstandin.WithDownTime(c.Down))
	s := &server{
		handler:   target,
		configure: target.ConfigureServer,
		afterStop: target.Close,
	}
	if c.Platform == "" {
		return s.run(c.Listen, out)
	}
	client := cranplatform.NewClient(c.Platform, cranplatform.WithName(c.ID))
	defer func() { _ = client.Close() }()
	s.started = func(ctx context.Context, address string) error { return c.register(ctx, client, address) }
	s.beforeStop = func() error { return c.deregister(client) }
	return s.run(c.Listen, out)
}

// register registers the instance with the platform. It retries, since the
// platform may start later than the target.
func (c *targetCommand) register(ctx context.Context, client *cranplatform.Client, address string) error {
	if c.Advertise != "" {
		address = c.Advertise
	}
	instance := cranplatform.Instance{
		ID:          c.ID,
		Address:     address,
		Domain:      c.Domain,
		DataCentre:  c.DataCentre,
		Pool:        c.Pool,
		Slots:       c.Slots,
		Connections: c.Connections,
		Role:        cranstandin.RoleTarget,
	}
	var err error
	for range registerAttempts {
		if err = client.Register(ctx, instance); err == nil {
			return nil
		}
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
			return nil
		}
	}
	return err
}

// deregister removes the instance from the platform's list.
func (c *targetCommand) deregister(client *cranplatform.Client) error {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	return client.Deregister(ctx, c.ID)
}
