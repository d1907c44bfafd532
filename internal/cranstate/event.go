package cranstate

import "github.com/cranberrypick/cranberrypick/internal/cranplatform"

// Event is a proposal that a record carries. The reducer accepts it or
// refuses it. The writer of an event is the writer of its record.
type Event interface{ kind() string }

// ConfigPublished proposes a new configuration. It is refused unless Base is
// the revision in force: of two operators who publish at the same time, the
// second is refused and has to start from the new revision.
type ConfigPublished struct {
	Base   uint64        `cbor:"base"`
	Config EncodedConfig `cbor:"config"`
}

// MemberJoined makes the writer a member.
type MemberJoined struct {
	// Instance is the platform's id of the entry instance.
	Instance string `cbor:"instance"`
	// Address is the IP address and port at which peers reach the member.
	Address    string `cbor:"address"`
	DataCentre string `cbor:"dataCentre"`
	LeaseMs    int64  `cbor:"leaseMs"`
}

// Heartbeat renews the writer's lease and reports for which planned stops the
// writer has drained its requests.
type Heartbeat struct {
	// Revision is the configuration revision in force at the writer.
	Revision uint64 `cbor:"revision"`
	// Drained lists the ids of the stops on whose instances the writer has no
	// request in progress.
	Drained []uint64 `cbor:"drained,omitempty"`
}

// MemberLeft ends the writer's membership. A member leaves only when it has no
// request in progress.
type MemberLeft struct{}

// LeaseRequested requests or renews the lease on a shard. A shard is a part of
// the work that one member does for all, such as requesting actions of the
// platform. Only the holder of the lease does it.
type LeaseRequested struct {
	Shard      string `cbor:"shard"`
	DurationMs int64  `cbor:"durationMs"`
}

// LeaseReturned releases a lease before it lapses.
type LeaseReturned struct {
	Shard string `cbor:"shard"`
}

// InstancesObserved reports changed entries of the platform's instance list.
type InstancesObserved struct {
	Instances []Observation `cbor:"instances"`
}

// Observation is one entry of the platform's instance list.
type Observation struct {
	ID         string             `cbor:"id"`
	Address    string             `cbor:"address"`
	Domain     string             `cbor:"domain"`
	DataCentre string             `cbor:"dataCentre"`
	Pool       string             `cbor:"pool"`
	Phase      cranplatform.Phase `cbor:"phase"`
	// Boots counts the boots of the instance.
	Boots int `cbor:"boots"`
	// Slots is how many requests the instance takes at a time.
	Slots       int `cbor:"slots"`
	Connections int `cbor:"connections"`
	// Entry is true for an entry instance, false for a target.
	Entry bool `cbor:"entry,omitempty"`
}

// ProbesObserved reports the outcomes of health probes.
type ProbesObserved struct {
	Probes []Probe `cbor:"probes"`
}

// Probe is the outcome of a health probe of one instance.
type Probe struct {
	Instance string `cbor:"instance"`
	// Boots is the boot count known to the prober. A probe of another boot is
	// ignored.
	Boots   int  `cbor:"boots"`
	Healthy bool `cbor:"healthy"`
}

// ActionsObserved reports the ids of actions that the platform has completed.
type ActionsObserved struct {
	Done []string `cbor:"done"`
}

// StopKind is the kind of a planned stop.
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
	// Wave is the id of the wave that the stop belongs to, zero if none.
	Wave uint64 `cbor:"wave,omitempty"`
	// Base is the instance version (see Instance.Version) on which the
	// proposal is based; zero accepts any version.
	Base uint64 `cbor:"base,omitempty"`
}

// StopCancelled cancels a planned stop whose drain barrier has not passed and
// returns the cordoned instance to service.
type StopCancelled struct {
	Instance string `cbor:"instance"`
}

// WaveProposed starts a maintenance wave that reboots every instance of the
// pools.
type WaveProposed struct {
	Pools []string `cbor:"pools"`
	// MaxFailures is how many instances may fail during the wave; one more
	// failure halts it.
	MaxFailures int `cbor:"maxFailures"`
}

// WaveResumed resumes a halted wave.
type WaveResumed struct {
	Wave uint64 `cbor:"wave"`
}

// WaveCancelled cancels a wave. Its cordoned instances return to service; the
// actions that the platform was already asked for complete.
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
