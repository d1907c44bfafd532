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

// Default settings of an entry.
const (
	defaultLease            = 4 * time.Second
	defaultHeartbeat        = time.Second
	defaultControlStream    = "control"
	defaultSnapshotStream   = "snapshots"
	defaultMaxPeerMessage   = 16 << 20
	defaultMaxParallelStops = 4
)

// settings holds the values that options set.
type settings struct {
	id                string
	instance          string
	advertise         string
	dataCentre        string
	controlStream     string
	leaseDuration     time.Duration
	heartbeatInterval time.Duration
	batchWindow       time.Duration
	maxPeerMessage    int
	maxParallelStops  int
	snapshotStream    string
	policy            cransnapshot.Policy
	seeds             []cranpeer.Peer
	logger            *cranevent.Logger
	metrics           *cranmetric.Metrics
	proxyOptions      []crantraffic.Option
}

// Option sets one property of an entry.
type Option func(*settings)

func newSettings(options []Option) settings {
	s := settings{
		id: "entry", controlStream: defaultControlStream, leaseDuration: defaultLease, heartbeatInterval: defaultHeartbeat,
		snapshotStream: defaultSnapshotStream, policy: cransnapshot.NewPolicy(),
		logger: cranevent.Discard(), metrics: cranmetric.New(),
		maxPeerMessage: defaultMaxPeerMessage, maxParallelStops: defaultMaxParallelStops,
	}
	for _, o := range options {
		o(&s)
	}
	return s
}

// WithIdentity sets the platform's name of the entry instance, and its data
// centre.
func WithIdentity(instance, dataCentre string) Option {
	return func(s *settings) {
		s.instance, s.dataCentre = instance, dataCentre
		if instance != "" {
			s.id = instance
		}
	}
}

// WithControlStream sets the name of the control stream of the log.
func WithControlStream(name string) Option { return func(s *settings) { s.controlStream = name } }

// WithLease sets the duration of the membership lease and the interval at which
// it is renewed.
func WithLease(lease, heartbeat time.Duration) Option {
	return func(s *settings) { s.leaseDuration, s.heartbeatInterval = lease, heartbeat }
}

// WithBatchWindow sets how long a control record waits for others before they
// are appended as one batch.
func WithBatchWindow(d time.Duration) Option { return func(s *settings) { s.batchWindow = d } }

// WithMaxPeerMessage sets the maximum size of a message from a peer, in bytes.
func WithMaxPeerMessage(n int) Option { return func(s *settings) { s.maxPeerMessage = n } }

// WithMaxParallelStops sets how many stops of a wave may be in progress at once.
func WithMaxParallelStops(n int) Option { return func(s *settings) { s.maxParallelStops = n } }

// WithSnapshotPolicy sets the policy that decides when the holder of the effects
// lease writes a snapshot.
func WithSnapshotPolicy(policy cransnapshot.Policy) Option {
	return func(s *settings) { s.policy = policy }
}

// WithSeeds sets seed peers, each as IP address and port. A new entry fetches a
// snapshot from them if the log has none, and they may call this entry before
// they are members.
func WithSeeds(addresses ...string) Option {
	return func(s *settings) {
		for _, a := range addresses {
			s.seeds = append(s.seeds, cranpeer.Peer{Member: a, Address: a})
		}
	}
}

// WithTelemetry sets the event logger and the metrics.
func WithTelemetry(logger *cranevent.Logger, metrics *cranmetric.Metrics) Option {
	return func(s *settings) { s.logger, s.metrics = logger, metrics }
}

// WithTrafficOptions adds options for the traffic proxy.
func WithTrafficOptions(options ...crantraffic.Option) Option {
	return func(s *settings) { s.proxyOptions = append(s.proxyOptions, options...) }
}

// randomSuffix returns a suffix that makes the name of an incarnation unique.
func randomSuffix() string {
	var b [8]byte
	// Read never returns an error: crypto/rand crashes the program instead.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
