package cranstate

import "github.com/cranberrypick/cranberrypick/internal/cranplatform"

// Event is a proposal that a record carries. The reducer accepts it or
// refuses it.
type Event interface{ kind() string }

// ConfigPublished proposes a new configuration. It is refused unless Base is
// the revision in force, so of two operators who race one is told to look
// again.
type ConfigPublished struct {
	Base   uint64        `cbor:"base"`
	Config EncodedConfig `cbor:"config"`
}

// MemberJoined makes the writer a member.
type MemberJoined struct {
	// Instance is the platform's id of the entry instance.
	Instance string `cbor:"instance"`
	// Address is where peers reach the member, IP and port.
	Address    string `cbor:"address"`
	DataCentre string `cbor:"dataCentre"`
	LeaseMs    int64  `cbor:"leaseMs"`
}

// Heartbeat renews the writer's lease and reports the stops on whose
// instances the writer has no request in progress.
type Heartbeat struct {
	// Revision is the configuration in force at the writer.
	Revision uint64 `cbor:"revision"`
	// Drained lists stop ids.
	Drained []uint64 `cbor:"drained,omitempty"`
}

// MemberLeft ends the writer's membership; it has no request in progress.
type MemberLeft struct{}

// LeaseRequested asks for the lease on a shard of effects, or renews it.
type LeaseRequested struct {
	Shard      string `cbor:"shard"`
	DurationMs int64  `cbor:"durationMs"`
}

// LeaseReturned gives a lease back before it lapses.
type LeaseReturned struct {
	Shard string `cbor:"shard"`
}

// InstancesObserved reports changed lines of the platform's list.
type InstancesObserved struct {
	Instances []Observation `cbor:"instances"`
}

// Observation is one line of the platform's list.
type Observation struct {
	ID          string             `cbor:"id"`
	Address     string             `cbor:"address"`
	Domain      string             `cbor:"domain"`
	DataCentre  string             `cbor:"dataCentre"`
	Pool        string             `cbor:"pool"`
	Phase       cranplatform.Phase `cbor:"phase"`
	Boots       int                `cbor:"boots"`
	Slots       int                `cbor:"slots"`
	Connections int                `cbor:"connections"`
	Entry       bool               `cbor:"entry,omitempty"`
}

// ProbesObserved reports the outcome of health probes.
type ProbesObserved struct {
	Probes []Probe `cbor:"probes"`
}

// Probe is the outcome of probing one instance.
type Probe struct {
	Instance string `cbor:"instance"`
	// Boots is the boot that the prober saw; an outdated probe is ignored.
	Boots   int  `cbor:"boots"`
	Healthy bool `cbor:"healthy"`
}

// ActionsObserved reports actions that the platform says it has completed.
type ActionsObserved struct {
	Done []string `cbor:"done"`
}

// StopKind tells a reboot from a move.
type StopKind string

// Kinds of planned stop.
const (
	StopReboot StopKind = "reboot"
	StopMove   StopKind = "move"
)

// StopProposed proposes a planned stop of an instance.
type StopProposed struct {
	Instance string   `cbor:"instance"`
	Kind     StopKind `cbor:"kind"`
	// Pool is the destination of a move.
	Pool string `cbor:"pool,omitempty"`
	// Wave is the wave that the stop belongs to, zero if none.
	Wave uint64 `cbor:"wave,omitempty"`
	// Base is the instance version that the proposal was based on, zero to
	// accept any.
	Base uint64 `cbor:"base,omitempty"`
}

// StopCancelled returns a cordoned instance to service.
type StopCancelled struct {
	Instance string `cbor:"instance"`
}

// WaveProposed starts a maintenance wave over whole pools.
type WaveProposed struct {
	Pools []string `cbor:"pools"`
	// MaxFailures is how many instances may fail inside the wave before it
	// halts.
	MaxFailures int `cbor:"maxFailures"`
}

// WaveResumed lets a halted wave go on.
type WaveResumed struct {
	Wave uint64 `cbor:"wave"`
}

// WaveCancelled ends a wave; stops in progress complete.
type WaveCancelled struct {
	Wave uint64 `cbor:"wave"`
}

func (ConfigPublished) kind() string   { return "configPublished" }
func (MemberJoined) kind() string      { return "memberJoined" }
func (Heartbeat) kind() string         { return "heartbeat" }
func (MemberLeft) kind() string        { return "memberLeft" }
func (LeaseRequested) kind() string    { return "leaseRequested" }
func (LeaseReturned) kind() string     { return "leaseReturned" }
func (InstancesObserved) kind() string { return "instancesObserved" }
func (ProbesObserved) kind() string    { return "probesObserved" }
func (ActionsObserved) kind() string   { return "actionsObserved" }
func (StopProposed) kind() string      { return "stopProposed" }
func (StopCancelled) kind() string     { return "stopCancelled" }
func (WaveProposed) kind() string      { return "waveProposed" }
func (WaveResumed) kind() string       { return "waveResumed" }
func (WaveCancelled) kind() string     { return "waveCancelled" }
