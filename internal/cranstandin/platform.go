package cranstandin

import (
	"net/http"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Platform is a log and a fleet that share their faults. As an http.Handler
// it serves the published protocol and the operator's calls:
//
//	GET, PUT /faults                 the faults in force, as Faults
//	GET      /ledger                 {"entries": [LedgerEntry]}
//	GET      /truth                  the instances without lag and faults
//	POST     /instances              add an instance, or bring it back
//	DELETE   /instances/{id}         remove it; ?abrupt=true loses it at once
//	POST     /expire                 {"stream", "before"} drops records
//	GET      /counters               {"streams": [StreamCounters]}
//	GET      /health                 answers while the process runs
type Platform struct {
	log     *Log
	fleet   *Fleet
	handler http.Handler
}

var _ http.Handler = (*Platform)(nil)

// PlatformOption changes how a platform is built.
type PlatformOption func(*platformParts)

// platformParts gathers the options of a platform's halves.
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

// NewPlatform returns an empty platform. Close releases it.
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

// LogFor returns the log as the named client sees it.
func (p *Platform) LogFor(client string) cranplatform.Log { return p.log.ForClient(client) }

// FleetFor returns the fleet as the named client sees it.
func (p *Platform) FleetFor(client string) cranplatform.Fleet { return p.fleet.ForClient(client) }

// Faults returns the faults in force; counts of next calls are what is left.
func (p *Platform) Faults() Faults { return p.log.faults.get() }

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) error {
	return p.log.faults.set(f, p.log.prepare, p.fleet.prepare)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.handler.ServeHTTP(w, r)
}

// Close ends waiting calls and running actions, and waits for both.
func (p *Platform) Close() error {
	_ = p.log.Close()
	return p.fleet.Close()
}
