package crancli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranentry"
	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranserver"
	"github.com/cranberrypick/cranberrypick/internal/cransettings"
	"github.com/cranberrypick/cranberrypick/internal/cransnapshot"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

const (
	// shutdownTimeout bounds the graceful shutdown of the HTTP servers.
	shutdownTimeout = 5 * time.Second
	// percentPerUnit converts a percentage to a share from 0 to 1.
	percentPerUnit = 100
)

type serveCommand struct {
	Settings string `help:"TOML settings of this entry instance." required:"" type:"path"`
}

// Run runs the entry instance until ctx is cancelled, and stops it gracefully.
func (c *serveCommand) Run(ctx context.Context, o *output) error {
	settings, err := cransettings.Load(c.Settings)
	if err != nil {
		return usageError{err}
	}
	logger := newLogger(settings, o.err)
	metrics := cranmetric.New(cranmetric.WithRuntime())
	logger.Emit(cranevent.SettingsLoaded, cranevent.File(c.Settings))
	platform := cranplatform.NewClient(settings.Platform(), cranplatform.WithName(settings.ID()))
	supervisor, err := cranentry.NewSupervisor(platform, platform, peerAddress(settings),
		append(entryOptions(settings), cranentry.WithTelemetry(logger, metrics))...)
	if err != nil {
		return err
	}
	callerListener, err := listen(settings.Listen())
	if err != nil {
		return err
	}
	adminListener, err := listen(settings.AdminListen())
	if err != nil {
		return errors.Join(err, callerListener.Close())
	}
	var group run.Group
	limits := settings.Limits()
	cranserver.Add(&group, newLimitListener(callerListener, limits.MaxConnections()), supervisor.Handler(), limits.MaxHeader(), shutdownTimeout)
	cranserver.Add(&group, adminListener, adminHandler(supervisor, metrics, settings), limits.MaxHeader(), shutdownTimeout)
	runCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return supervisor.Run(runCtx) }, func(error) { cancel() })
	_, _ = fmt.Fprintf(o.out, "callers %s admin %s peers %s\n", callerListener.Addr(), adminListener.Addr(), supervisor.PeerAddress())
	err = group.Run()
	return eris.Wrap(errors.Join(err, platform.Close()), "serve")
}

// adminHandler serves requests from the addresses that adminAllow includes.
func adminHandler(supervisor *cranentry.Supervisor, metrics *cranmetric.Metrics, s *cransettings.Settings) http.Handler {
	return cranadmin.AllowPrefixes(s.AdminAllow(), metrics.Refused, cranadmin.Handler(supervisor, metrics.Handler()))
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(s *cransettings.Settings, w io.Writer) *cranevent.Logger {
	options := []cranevent.Option{
		cranevent.WithLevel(cranevent.Level(s.Output().Level())),
		cranevent.WithProcess(s.ID()),
	}
	if s.Output().Format() == cransettings.FormatConsole {
		options = append(options, cranevent.WithConsole())
	}
	return cranevent.New(w, options...)
}

// peerAddress returns the address at which this entry instance listens for
// peers, and the one that it advertises to them.
func peerAddress(s *cransettings.Settings) cranentry.PeerAddress {
	return cranentry.PeerAddress{Listen: s.PeerListen(), Advertise: s.Advertise()}
}

func entryOptions(s *cransettings.Settings) []cranentry.Option {
	return []cranentry.Option{
		cranentry.WithIdentity(s.ID(), s.DataCentre()),
		cranentry.WithControlStream(s.Log().Stream()),
		cranentry.WithLease(s.Lease().Duration(), s.Lease().Heartbeat()),
		cranentry.WithBatchWindow(s.Log().BatchWindow()),
		cranentry.WithMaxPeerMessage(s.Limits().MaxPeerMessage()),
		cranentry.WithSeeds(seeds(s)...),
		cranentry.WithMaxParallelStops(s.Wave().MaxParallel()),
		cranentry.WithSnapshotPolicy(cransnapshot.NewPolicy(
			cransnapshot.WithMaxRecords(uint64(s.Snapshot().EveryRecords())),
			cransnapshot.WithInterval(s.Snapshot().Every()))),
		cranentry.WithTrafficOptions(
			crantraffic.WithBodyLimit(int64(s.Limits().MaxBody())),
			crantraffic.WithAnswerLimit(int64(s.Limits().MaxAnswerBuffer())),
			crantraffic.WithRetries(float64(s.Retry().BudgetPercent())/percentPerUnit, s.Retry().Burst(), s.Retry().MaxAttempts()),
		),
	}
}

// seeds returns the addresses of the peers in the settings.
func seeds(s *cransettings.Settings) []string {
	var list []string
	for _, p := range s.Peers() {
		list = append(list, p.String())
	}
	return list
}

// listen opens a TCP listener.
func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	return l, eris.Wrapf(err, "listen on %s; free the address or set another", address)
}
