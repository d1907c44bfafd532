package cranentry

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranmetric"
	"github.com/cranberrypick/cranberrypick/internal/cranpeer"
	"github.com/cranberrypick/cranberrypick/internal/cransnapshot"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// Defaults of an entry.
const (
	defaultLease          = 4 * time.Second
	defaultHeartbeat      = time.Second
	defaultStream         = "control"
	defaultSnapshots      = "snapshots"
	defaultMaxPeerMessage = 16 << 20
	defaultMaxParallel    = 4
)

// parts is what options set.
type parts struct {
	id             string
	instance       string
	advertise      string
	dataCentre     string
	stream         string
	lease          time.Duration
	heartbeat      time.Duration
	batchWindow    time.Duration
	maxPeerMessage int
	maxParallel    int
	snapshots      string
	policy         cransnapshot.Policy
	seeds          []cranpeer.Peer
	logger         *cranevent.Logger
	metrics        *cranmetric.Metrics
	frontOptions   []crantraffic.Option
}

// Option sets one property of an entry.
type Option func(*parts)

func newParts(options []Option) parts {
	p := parts{
		id: "entry", stream: defaultStream, lease: defaultLease, heartbeat: defaultHeartbeat,
		snapshots: defaultSnapshots, policy: cransnapshot.NewPolicy(),
		logger: cranevent.Discard(), metrics: cranmetric.New(),
		maxPeerMessage: defaultMaxPeerMessage, maxParallel: defaultMaxParallel,
	}
	for _, o := range options {
		o(&p)
	}
	return p
}

// WithIdentity names the entry instance as the platform does, and its data
// centre.
func WithIdentity(instance, dataCentre string) Option {
	return func(p *parts) {
		p.instance, p.dataCentre = instance, dataCentre
		if instance != "" {
			p.id = instance
		}
	}
}

// WithStream names the control stream of the log.
func WithStream(name string) Option { return func(p *parts) { p.stream = name } }

// WithLease sets the membership lease and how often it is renewed.
func WithLease(lease, heartbeat time.Duration) Option {
	return func(p *parts) { p.lease, p.heartbeat = lease, heartbeat }
}

// WithBatchWindow lets control records wait for others before an append.
func WithBatchWindow(d time.Duration) Option { return func(p *parts) { p.batchWindow = d } }

// WithMaxPeerMessage bounds a message of a peer in bytes.
func WithMaxPeerMessage(n int) Option { return func(p *parts) { p.maxPeerMessage = n } }

// WithMaxParallel bounds the stops of a wave that are in progress at once.
func WithMaxParallel(n int) Option { return func(p *parts) { p.maxParallel = n } }

// WithSnapshotPolicy says when the holder of the effects lease writes a
// snapshot.
func WithSnapshotPolicy(policy cransnapshot.Policy) Option {
	return func(p *parts) { p.policy = policy }
}

// WithSeeds names peers, by IP and port, of which a newcomer asks a snapshot
// when the log has none, and which may ask this entry.
func WithSeeds(addresses ...string) Option {
	return func(p *parts) {
		for _, a := range addresses {
			p.seeds = append(p.seeds, cranpeer.Peer{Member: a, Address: a})
		}
	}
}

// WithTelemetry sets where events are logged and what is counted.
func WithTelemetry(logger *cranevent.Logger, metrics *cranmetric.Metrics) Option {
	return func(p *parts) { p.logger, p.metrics = logger, metrics }
}

// WithTrafficOptions passes options on to the traffic front.
func WithTrafficOptions(options ...crantraffic.Option) Option {
	return func(p *parts) { p.frontOptions = append(p.frontOptions, options...) }
}

// randomSuffix makes an incarnation unique among all that ever were.
func randomSuffix() string {
	var b [8]byte
	// Read never fails: crypto/rand ends the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
