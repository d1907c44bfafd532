package crancli

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranentry"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cransettings"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

const (
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 10 * time.Second
	// shutdownTimeout bounds the end of connections after the last answer.
	shutdownTimeout = 5 * time.Second
)

type serveCommand struct {
	Settings string `help:"TOML settings of this entry instance." required:"" type:"path"`
}

// Run serves until ctx ends, and then stops gracefully.
func (c *serveCommand) Run(ctx context.Context, o *output) error {
	settings, err := cransettings.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	platform := cranplatform.NewClient(settings.Platform(), cranplatform.WithName(settings.ID()))
	host, err := cranentry.NewHost(platform, platform, peerAddress(settings), entryOptions(settings)...)
	if err != nil {
		return err
	}
	var group run.Group
	callers, err := addServer(&group, settings.Listen(), host.Handler(), settings.Limits().MaxHeader())
	if err != nil {
		return err
	}
	admin, err := addServer(&group, settings.AdminListen(), cranadmin.Handler(host, nil), settings.Limits().MaxHeader())
	if err != nil {
		return err
	}
	stop, cancel := context.WithCancel(ctx)
	group.Add(func() error { return host.Run(stop) }, func(error) { cancel() })
	_, _ = fmt.Fprintf(o.out, "callers %s admin %s peers %s\n", callers, admin, host.PeerAddress())
	err = group.Run()
	return eris.Wrap(errors.Join(err, platform.Close()), "serve")
}

// peerAddress returns where this entry listens for peers.
func peerAddress(s *cransettings.Settings) cranentry.PeerAddress {
	return cranentry.PeerAddress{Listen: s.PeerListen(), Advertise: s.Advertise()}
}

func entryOptions(s *cransettings.Settings) []cranentry.Option {
	return []cranentry.Option{
		cranentry.WithIdentity(s.ID(), s.DataCentre()),
		cranentry.WithStream(s.Log().Stream()),
		cranentry.WithLease(s.Lease().Duration(), s.Lease().Heartbeat()),
		cranentry.WithBatchWindow(s.Log().BatchWindow()),
		cranentry.WithMaxPeerMessage(s.Limits().MaxPeerMessage()),
		cranentry.WithMaxParallel(s.Wave().MaxParallel()),
		cranentry.WithFront(
			crantraffic.WithBodyLimit(int64(s.Limits().MaxBody())),
			crantraffic.WithAnswerLimit(int64(s.Limits().MaxAnswerBuffer())),
		),
	}
}

// addServer adds an HTTP server to the group and returns its address. It is
// interrupted after everything added behind it has ended.
func addServer(group *run.Group, address netip.AddrPort, h http.Handler, maxHeader int) (string, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return "", eris.Wrapf(err, "listen on %s; free the address or set another", address)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return listener.Addr().String(), nil
}
