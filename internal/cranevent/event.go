package cranevent

import (
	"slices"
	"strconv"
)

// Event is the number of one kind of log event.
type Event int

// Events of the process and its settings.
const (
	EntryStarting  Event = 101
	EntryReady     Event = 102
	EntryNotReady  Event = 103
	EntryStopping  Event = 104
	EntryStopped   Event = 105
	SettingsLoaded Event = 110
	// SettingsRefused and SettingsNeedRestart follow a change of the file.
	SettingsRefused     Event = 113
	SettingsNeedRestart Event = 114
)

// Events of the published configuration.
const (
	ConfigurationAccepted Event = 201
	ConfigurationRefused  Event = 202
	ConfigurationInForce  Event = 203
)

// Events of the log and of snapshots.
const (
	LogUnavailable  Event = 301
	LogAvailable    Event = 302
	RecordsExpired  Event = 303
	MalformedRecord Event = 305
	SnapshotWritten Event = 310
	SnapshotLoaded  Event = 311
	SnapshotFailed  Event = 312
)

// Events of membership and leases.
const (
	MemberJoined     Event = 401
	MemberLeft       Event = 402
	MemberWrittenOff Event = 403
	LeaseTaken       Event = 410
)

// Events of planned stops and of lost instances.
const (
	StopRefused       Event = 502
	StopCordoned      Event = 503
	StopBarrierPassed Event = 504
	StopRebooted      Event = 506
	StopCompleted     Event = 507
	StopCancelled     Event = 508
	InstanceLost      Event = 510
	InstanceChanged   Event = 511
	InstanceReady     Event = 512
)

// Events of jobs, as callers see them.
const (
	JobAccepted  Event = 1001
	JobRefused   Event = 1002
	JobCancelled Event = 1003
	JobUnknown   Event = 1004
	JobEnded     Event = 1005
	// JobEntryStarting is the start of an entry instance of the job service.
	JobEntryStarting Event = 1010
)

// Events of the scheduling and who does it.
const (
	SchedulerClaiming Event = 1101
	SchedulerRefused  Event = 1102
	SchedulerAcquired Event = 1103
	SchedulerLost     Event = 1104
	SchedulerChanged  Event = 1105
	AppendRepeated    Event = 1106
)

// Events of the runs of tasks.
const (
	RunPlaced       Event = 1201
	RunUnanswered   Event = 1202
	RunRefused      Event = 1203
	RunEnded        Event = 1204
	RunStopped      Event = 1205
	RunUnknown      Event = 1206
	RunReleased     Event = 1207
	ThrottleChanged Event = 1208
	EndWithheld     Event = 1209
)

// Events of targets that run tasks, and of planned work on their instances.
const (
	TargetUnresponsive Event = 1301
	TargetRecovered    Event = 1302
	TargetLeaseExpired Event = 1303
	TargetRestarted    Event = 1304
	TargetGone         Event = 1305
	TargetSuperseded   Event = 1306
	TargetCordoned     Event = 1310
	MaintenanceOrdered Event = 1311
	WaveChanged        Event = 1312
	MoveOrdered        Event = 1313
)

// Events of moves between pools.
const (
	MoveDone Event = 603
)

// Events of maintenance waves.
const (
	WaveStarted   Event = 701
	WaveHalted    Event = 702
	WaveResumed   Event = 703
	WaveDone      Event = 704
	WaveCancelled Event = 705
)

// Events between entry instances.
const (
	Isolated      Event = 801
	Reconnected   Event = 802
	PeerRefused   Event = 803
	PeerMalformed Event = 804
)

// Events of traffic.
const (
	ClaimsNotReady Event = 905
	ClaimsReady    Event = 906
)

// Number returns the number that the catalogue lists.
func (e Event) Number() int { return int(e) }

// String returns the event's name, or its number if it isn't defined.
func (e Event) String() string {
	if d, ok := e.Definition(); ok {
		return d.name
	}
	return strconv.Itoa(int(e))
}

// Definition returns what is fixed about the event.
func (e Event) Definition() (Definition, bool) {
	d, ok := byEvent[e]
	return d, ok
}

// Definition is what is fixed about an event.
type Definition struct {
	event Event
	// name is unique, in camel case.
	name  string
	level Level
	// text is one clause without a full stop.
	text string
	// fields are the keys that the event may carry, in order of name.
	fields []Key
	// limited is set for events that others can cause at will.
	limited bool
}

// Event returns the number.
func (d Definition) Event() Event { return d.event }

// Name returns the unique name, in camel case.
func (d Definition) Name() string { return d.name }

// Level returns how serious the event is.
func (d Definition) Level() Level { return d.level }

// Text returns the message of the line.
func (d Definition) Text() string { return d.text }

// Fields returns the keys that the event may carry.
func (d Definition) Fields() []Key { return slices.Clone(d.fields) }

// Limited reports whether a logger writes the event a bounded number of times
// a second, since others can cause it at will.
func (d Definition) Limited() bool { return d.limited }

// Definitions returns every event in order of number.
func Definitions() []Definition { return slices.Clone(definitions) }
