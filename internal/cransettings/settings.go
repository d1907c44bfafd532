package cransettings

import (
	"net/netip"
	"slices"
	"time"
)

// Settings is the complete, immutable settings of one entry instance.
type Settings struct {
	// id is empty when the file gives none.
	id string
	// dataCentre is a name that is never empty.
	dataCentre string
	// The listening addresses are distinct, unless their port is zero.
	listen, peerListen, adminListen netip.AddrPort
	// advertise is a specified address; it is invalid when the file gives
	// none and peerListen is specified.
	advertise netip.Addr
	// platform is an http URL without a path.
	platform string
	// peers are specified addresses with ports.
	peers []netip.AddrPort
	// adminAllow holds masked prefixes.
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

// AdminListen returns the address for operators: metrics and readiness.
func (s *Settings) AdminListen() netip.AddrPort { return s.adminListen }

// Advertise returns the IP number that peers use to reach this process: the
// one given, or else that of the peer address.
func (s *Settings) Advertise() netip.Addr {
	if s.advertise.IsValid() {
		return s.advertise
	}
	return s.peerListen.Addr()
}

// Platform returns the base URL of the platform's service, without a
// trailing slash.
func (s *Settings) Platform() string { return s.platform }

// Peers returns the addresses of other entry instances that are known from
// the start.
func (s *Settings) Peers() []netip.AddrPort { return slices.Clone(s.peers) }

// AdminAllow returns whose addresses may use the address for operators.
func (s *Settings) AdminAllow() []netip.Prefix { return slices.Clone(s.adminAllow) }

// Limits returns the bounds on callers and peers.
func (s *Settings) Limits() Limits { return s.limits }

// Lease returns the timing of leases.
func (s *Settings) Lease() Lease { return s.lease }

// Log returns the settings of the log client.
func (s *Settings) Log() Log { return s.log }

// Snapshot returns when snapshots are written.
func (s *Settings) Snapshot() Snapshot { return s.snapshot }

// Wave returns the defaults of maintenance waves.
func (s *Settings) Wave() Wave { return s.wave }

// Retry returns the budget of retries.
func (s *Settings) Retry() Retry { return s.retry }

// Output returns how log events are written.
func (s *Settings) Output() Output { return s.output }

// Limits bounds what callers and peers may ask of the process.
type Limits struct {
	maxBody, maxHeader, maxAnswerBuffer, maxConnections, maxPeerMessage int
}

// MaxBody returns the largest request body in bytes.
func (l Limits) MaxBody() int { return l.maxBody }

// MaxHeader returns the largest request header in bytes.
func (l Limits) MaxHeader() int { return l.maxHeader }

// MaxAnswerBuffer returns the largest answer, in bytes, that is held until
// it is whole. A longer one is passed on as it comes.
func (l Limits) MaxAnswerBuffer() int { return l.maxAnswerBuffer }

// MaxConnections returns how many callers' connections may be open.
func (l Limits) MaxConnections() int { return l.maxConnections }

// MaxPeerMessage returns the largest message of a peer in bytes.
func (l Limits) MaxPeerMessage() int { return l.maxPeerMessage }

// Lease holds the timing of leases. The heartbeat is under a third of the
// duration, so that two lost heartbeats don't end a lease.
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

// BatchWindow returns how long an append waits for others to join it.
func (l Log) BatchWindow() time.Duration { return l.batchWindow }

// Snapshot says when a snapshot is due: at whichever bound comes first.
type Snapshot struct {
	everyRecords int
	every        time.Duration
}

// EveryRecords returns the number of records between two snapshots.
func (s Snapshot) EveryRecords() int { return s.everyRecords }

// Every returns the longest time between two snapshots.
func (s Snapshot) Every() time.Duration { return s.every }

// Wave holds the defaults of a maintenance wave.
type Wave struct {
	maxParallel int
}

// MaxParallel returns how many instances one wave stops at once at most; the
// services' availability budgets may allow fewer.
func (w Wave) MaxParallel() int { return w.maxParallel }

// Retry holds the budget of retries.
type Retry struct {
	budgetPercent, burst, maxAttempts int
}

// BudgetPercent returns the retries allowed per hundred requests.
func (r Retry) BudgetPercent() int { return r.budgetPercent }

// Burst returns how many unused retries may be saved up.
func (r Retry) Burst() int { return r.burst }

// MaxAttempts returns how often one request is sent at most, the first time
// included.
func (r Retry) MaxAttempts() int { return r.maxAttempts }

// Output says how log events are written.
type Output struct {
	level  Level
	format Format
}

// Level returns the lowest level that is written.
func (o Output) Level() Level { return o.level }

// Format returns the form of a line.
func (o Output) Format() Format { return o.format }

// Level is the least level of log events that are written.
type Level string

// Levels of log events.
const (
	LevelDebug Level = "debug"
	LevelInfo  Level = "info"
	LevelWarn  Level = "warn"
	LevelError Level = "error"
)

// Format is the form of a line of the log output.
type Format string

// Forms of a line.
const (
	FormatJSON    Format = "json"
	FormatConsole Format = "console"
)
