package cranstate

import "github.com/cranberrypick/cranberrypick/internal/cranfault"

// Effect is something that the world must be told, as data.
type Effect interface{ effect() }

// Accepted says that a record's proposal was accepted.
type Accepted struct {
	Writer string
	Seq    uint64
	Offset uint64
}

// Refused says that a record's proposal was refused and changed nothing.
type Refused struct {
	Writer string
	Seq    uint64
	Offset uint64
	Fault  *cranfault.Fault
}

// ConfigInForce says that a configuration came into force.
type ConfigInForce struct{ Revision uint64 }

// InstanceChanged says that an instance changed its phase or its pool.
type InstanceChanged struct {
	Instance string
	From     Phase
	To       Phase
	Pool     string
	// Cause says in a word why, for the log.
	Cause string
}

// BarrierPassed says that no request is in progress on a cordoned instance
// and the platform may now act on it.
type BarrierPassed struct {
	Instance string
	Stop     uint64
}

// MemberChanged says that a member joined, left or was written off.
type MemberChanged struct {
	Member string
	Change MemberChange
}

// MemberChange is what happened to a member.
type MemberChange string

// Changes of membership.
const (
	MemberAdded      MemberChange = "joined"
	MemberRemoved    MemberChange = "left"
	MemberWrittenOff MemberChange = "writtenOff"
)

// LeaseTaken says that a member holds the lease on a shard.
type LeaseTaken struct {
	Shard  string
	Holder string
	Token  uint64
}

// WaveChanged says that a wave started, halted, resumed or ended.
type WaveChanged struct {
	Wave  uint64
	Phase WavePhase
}

// MalformedSkipped says that a record could not be read and was passed over.
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
