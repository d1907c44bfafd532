package cranstate

import "github.com/cranberrypick/cranberrypick/internal/cranfault"

// Effect describes one outcome of applying a record, as plain data. The caller
// of Apply reports it or acts on it.
type Effect interface{ effect() }

// Accepted reports that the proposal in a record was accepted.
type Accepted struct {
	Writer string
	Seq    uint64
	Offset uint64
}

// Refused reports that the proposal in a record was refused and changed nothing.
type Refused struct {
	Writer string
	Seq    uint64
	Offset uint64
	Fault  *cranfault.Fault
}

// ConfigInForce reports that a configuration took effect.
type ConfigInForce struct{ Revision uint64 }

// InstanceChanged reports that an instance changed its phase. Pool is the pool
// that the instance belongs to after the change.
type InstanceChanged struct {
	Instance string
	From     Phase
	To       Phase
	Pool     string
	// Cause is a one-word reason for the event log.
	Cause string
}

// BarrierPassed reports that no request is in progress on a cordoned instance,
// so that the platform may now reboot or move it.
type BarrierPassed struct {
	Instance string
	// Stop is the id of the planned stop.
	Stop uint64
}

// MemberChanged reports that a member joined, left or was written off, that is,
// removed by the reducer after its lease expired.
type MemberChanged struct {
	Member string
	Change MemberChange
}

// MemberChange is the kind of a change of the membership.
type MemberChange string

// Changes of the membership.
const (
	MemberAdded      MemberChange = "joined"
	MemberRemoved    MemberChange = "left"
	MemberWrittenOff MemberChange = "writtenOff"
)

// LeaseTaken reports that a member was granted the lease on a shard.
type LeaseTaken struct {
	Shard  string
	Holder string
	// Token is the fencing token of the lease.
	Token uint64
}

// WaveChanged reports that a wave started, halted, resumed or ended.
type WaveChanged struct {
	Wave  uint64
	Phase WavePhase
}

// MalformedSkipped reports that a record could not be decoded and was skipped.
type MalformedSkipped struct {
	Offset uint64
	Reason string
}

func (Accepted) effect()         {}
func (Refused) effect()          {}
func (ConfigInForce) effect()    {}
func (InstanceChanged) effect()  {}
func (BarrierPassed) effect()    {}
func (MemberChanged) effect()    {}
func (LeaseTaken) effect()       {}
func (WaveChanged) effect()      {}
func (MalformedSkipped) effect() {}
