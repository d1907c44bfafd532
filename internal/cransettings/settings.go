package cransettings

import (
	"net/netip"
	"slices"
	"time"
)

// Settings holds all settings of one entry instance. It is immutable.
type Settings struct {
	// id is empty if the file has none.
	id string
	// dataCentre is never empty.
	dataCentre string
	// The listening addresses don't overlap, unless their port is zero.
	listen, peerListen, adminListen netip.AddrPort
	// advertise is a specific address, or the zero netip.Addr if the file has
	// none. It is set if peerListen has an unspecified address.
	advertise netip.Addr
	// platform is an http URL without a path.
	platform string
	// peers are specific addresses with ports other than zero.
	peers []netip.AddrPort
	// adminAllow holds prefixes without bits set beyond their length.
	adminAllow []netip.Prefix

	limits   Limits
	lease    Lease
	log      Log
	snapshot Snapshot
	wave     Wave
	retry    Retry
	output   Output
}

// ID returns the configured name of the process, or the empty string. The
// process adds a random part, so that a restart is a new incarnation.
func (s *Settings) ID() string { return s.id }

// DataCentre returns the name of the data centre that the process runs in.
func (s *Settings) DataCentre() string { return s.dataCentre }

// Listen returns the address for callers.
func (s *Settings) Listen() netip.AddrPort { return s.listen }

// PeerListen returns the address for other entry instances.
func (s *Settings) PeerListen() netip.AddrPort { return s.peerListen }

// AdminListen returns the address for operators, which serves metrics,
// readiness, status and operators' proposals.
func (s *Settings) AdminListen() netip.AddrPort { return s.adminListen }

// Advertise returns the IP address at which peers reach this process. It
// defaults to the IP address of PeerListen.
func (s *Settings) Advertise() netip.Addr {
	if s.advertise.IsValid() {
		return s.advertise
	}
	return s.peerListen.Addr()
}

// Platform returns the base URL of the platform's service, without a
// trailing slash.
func (s *Settings) Platform() string { return s.platform }

// Peers returns the addresses of other entry instances that are known at
// start.
func (s *Settings) Peers() []netip.AddrPort { return slices.Clone(s.peers) }

// AdminAllow returns the prefixes of the addresses that may use AdminListen.
func (s *Settings) AdminAllow() []netip.Prefix { return slices.Clone(s.adminAllow) }

// Limits returns the limits on callers and peers.
func (s *Settings) Limits() Limits { return s.limits }

// Lease returns the timing of leases.
func (s *Settings) Lease() Lease { return s.lease }

// Log returns the settings of the log client.
func (s *Settings) Log() Log { return s.log }

// Snapshot returns how often snapshots are written.
func (s *Settings) Snapshot() Snapshot { return s.snapshot }

// Wave returns the defaults of maintenance waves.
func (s *Settings) Wave() Wave { return s.wave }

// Retry returns the retry budget.
func (s *Settings) Retry() Retry { return s.retry }

// Output returns how log events are written.
func (s *Settings) Output() Output { return s.output }

// Limits holds the limits on the requests, connections and messages of callers
// and peers.
type Limits struct {
	maxBody, maxHeader, maxAnswerBuffer, maxConnections, maxPeerMessage int
}

// MaxBody returns the size of the largest request body in bytes.
func (l Limits) MaxBody() int { return l.maxBody }

// MaxHeader returns the size of the largest request header in bytes.
func (l Limits) MaxHeader() int { return l.maxHeader }

// MaxAnswerBuffer returns the size of the largest answer, in bytes, that is
// buffered completely before it is sent. A longer answer is passed on as it
// arrives.
func (l Limits) MaxAnswerBuffer() int { return l.maxAnswerBuffer }

// MaxConnections returns how many callers' connections may be open at once.
func (l Limits) MaxConnections() int { return l.maxConnections }

// MaxPeerMessage returns the size of the largest message from a peer in bytes.
func (l Limits) MaxPeerMessage() int { return l.maxPeerMessage }

// Lease holds the timing of leases. The heartbeat interval is less than a third
// of the duration, so that a lease survives two lost heartbeats.
type Lease struct {
	duration, heartbeat time.Duration
}

// Duration returns how long a lease lasts after its last renewal.
func (l Lease) Duration() time.Duration { return l.duration }

// Heartbeat returns the interval between renewals.
func (l Lease) Heartbeat() time.Duration { return l.heartbeat }

// Log holds the settings of the log client.
type Log struct {
	stream      string
	batchWindow time.Duration
}

// Stream returns the name of the control stream.
func (l Log) Stream() string { return l.stream }

// BatchWindow returns how long an append waits so that later appends join its
// batch.
func (l Log) BatchWindow() time.Duration { return l.batchWindow }

// Snapshot holds the bounds between two snapshots. The next snapshot is due as
// soon as one of the two is reached.
type Snapshot struct {
	everyRecords int
	every        time.Duration
}

// EveryRecords returns the number of records after which a snapshot is due.
func (s Snapshot) EveryRecords() int { return s.everyRecords }

// Every returns the time after which a snapshot is due.
func (s Snapshot) Every() time.Duration { return s.every }

// Wave holds the settings of maintenance waves.
type Wave struct {
	maxParallel int
}

// MaxParallel returns the most instances that one wave stops at once. The
// services' availability budgets may allow fewer.
func (w Wave) MaxParallel() int { return w.maxParallel }

// Retry holds the retry budget and the bound on the attempts of one request.
type Retry struct {
	budgetPercent, burst, maxAttempts int
}

// BudgetPercent returns how many retries are allowed per hundred requests.
func (r Retry) BudgetPercent() int { return r.budgetPercent }

// Burst returns the most unused retries that accumulate.
func (r Retry) Burst() int { return r.burst }

// MaxAttempts returns the most attempts for one request, including the first.
func (r Retry) MaxAttempts() int { return r.maxAttempts }

// Output holds the format of the log output and its lowest level.
type Output struct {
	level  Level
	format Format
}

// Level returns the lowest level that is written.
func (o Output) Level() Level { return o.level }

// Format returns the format of a line.
func (o Output) Format() Format { return o.format }

// Level is the lowest level of log events that are written.
type Level string

// Levels of log events.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is the format of a line of the log output.
type Format string

// Formats of a line.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)
