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
	// shutdownTimeout bounds the end of connections after the last answer.
	shutdownTimeout = 5 * time.Second
	// percent is how many parts a share of one has.
	percent = 100
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
	logger := newLogger(settings, o.err)
	metrics := cranmetric.New(cranmetric.WithRuntime())
	logger.Emit(cranevent.SettingsLoaded, cranevent.File(c.Settings))
	platform := cranplatform.NewClient(settings.Platform(), cranplatform.WithName(settings.ID()))
	host, err := cranentry.NewSupervisor(platform, platform, peerAddress(settings),
		append(entryOptions(settings), cranentry.WithTelemetry(logger, metrics))...)
	if err != nil {
		return err
	}
	callers, err := listen(settings.Listen())
	if err != nil {
		return err
	}
	admin, err := listen(settings.AdminListen())
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	var group run.Group
	limits := settings.Limits()
	cranserver.Add(&group, newLimitListener(callers, limits.MaxConnections()), host.Handler(), limits.MaxHeader(), shutdownTimeout)
	cranserver.Add(&group, admin, adminHandler(host, metrics, settings), limits.MaxHeader(), shutdownTimeout)
	stop, cancel := context.WithCancel(ctx)
	group.Add(func() error { return host.Run(stop) }, func(error) { cancel() })
	_, _ = fmt.Fprintf(o.out, "callers %s admin %s peers %s\n", callers.Addr(), admin.Addr(), host.PeerAddress())
	err = group.Run()
	return eris.Wrap(errors.Join(err, platform.Close()), "serve")
}

// adminHandler serves the operators that the settings let in.
func adminHandler(host *cranentry.Supervisor, metrics *cranmetric.Metrics, s *cransettings.Settings) http.Handler {
	return cranadmin.AllowPrefixes(s.AdminAllow(), metrics.Refused, cranadmin.Handler(host, metrics.Handler()))
}

// newLogger returns the logger that the settings ask for.
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

// peerAddress returns where this entry listens for peers.
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
			crantraffic.WithRetries(float64(s.Retry().BudgetPercent())/percent, s.Retry().Burst(), s.Retry().MaxAttempts()),
		),
	}
}

// seeds returns the peers that the settings name.
func seeds(s *cransettings.Settings) []string {
	var list []string
	for _, p := range s.Peers() {
		list = append(list, p.String())
	}
	return list
}

// listen opens an address.
func listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	return l, eris.Wrapf(err, "listen on %s; free the address or set another", address)
}
