package main

import (
	"context"
	"io"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

const (
	// registerAttempts bounds the attempts to register with the platform.
	registerAttempts = 60
	// registerPause is the time between two attempts.
	registerPause = 250 * time.Millisecond
	// deregisterTime bounds the farewell to the platform.
	deregisterTime = 2 * time.Second
)

// targetCommand runs a target.
type targetCommand struct {
	Listen      string        `required:"" placeholder:"ADDR" help:"Address to serve on, such as 127.0.0.1:7100; port 0 picks a free one."`
	ID          string        `required:"" help:"Id of the instance."`
	Slots       int           `default:"8" help:"Requests that run at once (${default})."`
	Connections int           `default:"64" help:"Connections that it takes (${default})."`
	Platform    string        `placeholder:"URL" help:"Platform to register with, such as http://127.0.0.1:7000; none without it."`
	Advertise   string        `placeholder:"ADDR" help:"Address to register; the one served on without it."`
	Domain      string        `default:"rack1" help:"Failure domain (${default})."`
	DataCentre  string        `default:"dc1" help:"Data centre (${default})."`
	Pool        string        `placeholder:"P" help:"Pool that the instance starts in."`
	Service     time.Duration `default:"20ms" help:"Time of a run without the header X-Service-Ms (${default})."`
	Down        time.Duration `default:"3s" help:"Time of a reboot that doesn't say (${default})."`
}

// Run serves the target until a signal.
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

// register tells the platform of the instance, once the platform is there.
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

// deregister tells the platform that the instance leaves.
func (c *targetCommand) deregister(client *cranplatform.Client) error {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTime)
	defer cancel()
	return client.Deregister(ctx, c.ID)
}
