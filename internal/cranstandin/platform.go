package cranstandin

import (
	"net/http"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Platform is a log and a fleet that share their injected faults. As an http.Handler
// it serves the protocol of cranplatform and these control calls:
//
//	GET, PUT /faults                 the injected faults, as Faults
//	GET      /ledger                 {"entries": [LedgerEntry]}
//	GET      /truth                  the instances without the list's lag and faults
//	POST     /instances              add an instance, or make it live again
//	DELETE   /instances/{id}         remove it; ?abrupt=true simulates its loss
//	POST     /expire                 {"stream", "before"} drops older records
//	GET      /counters               {"streams": [StreamCounters]}
//	GET      /health                 responds while the process runs
type Platform struct {
	log     *Log
	fleet   *Fleet
	handler http.Handler
}

var _ http.Handler = (*Platform)(nil)

// PlatformOption configures a Platform.
type PlatformOption func(*platformParts)

// platformParts holds the options of a platform's log and fleet.
type platformParts struct {
	log   []LogOption
	fleet []FleetOption
}

// WithLogOptions passes options to the platform's log.
func WithLogOptions(options ...LogOption) PlatformOption {
	return func(p *platformParts) { p.log = append(p.log, options...) }
}

// WithFleetOptions passes options to the platform's fleet.
func WithFleetOptions(options ...FleetOption) PlatformOption {
	return func(p *platformParts) { p.fleet = append(p.fleet, options...) }
}

// NewPlatform returns an empty platform. The caller must close it.
func NewPlatform(options ...PlatformOption) *Platform {
	var parts platformParts
	for _, option := range options {
		option(&parts)
	}
	p := &Platform{log: NewLog(parts.log...), fleet: NewFleet(parts.fleet...)}
	p.fleet.faults = p.log.faults
	p.handler = newPlatformHandler(p)
	return p
}

// Log returns the platform's log.
func (p *Platform) Log() *Log { return p.log }

// Fleet returns the platform's fleet.
func (p *Platform) Fleet() *Fleet { return p.fleet }

// LogForClient returns the log as the named client sees it.
func (p *Platform) LogForClient(client string) cranplatform.Log { return p.log.ForClient(client) }

// FleetForClient returns the fleet as the named client sees it.
func (p *Platform) FleetForClient(client string) cranplatform.Fleet { return p.fleet.ForClient(client) }

// Faults returns the injected faults. The fields that count calls from the next one on,
// such as DuplicateAppends, have the numbers of calls that remain.
func (p *Platform) Faults() Faults { return p.log.faults.get() }

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) error {
	return p.log.faults.set(f, p.log.applyExpireRecords, p.fleet.applyListFrozen)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// Close closes the log and the fleet: it ends waiting reads, drops the delayed
// appends and actions that haven't started, and waits for those that have.
func (p *Platform) Close() error {
	_ = p.log.Close()
	return p.fleet.Close()
}
