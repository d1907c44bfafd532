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
	// SettingsRefused and SettingsNeedRestart report a change of the settings file.
	SettingsRefused     Event = 113
	SettingsNeedRestart Event = 114
)

// Events of the published configuration.
const (
	ConfigurationAccepted Event = 201
	ConfigurationRefused  Event = 202
	ConfigurationInForce  Event = 203
	// ConfigurationOutdated means that a newer configuration may have been in effect
	// elsewhere for longer than allowed.
	ConfigurationOutdated  Event = 204
	ConfigurationConfirmed Event = 205
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
	MemberJoined Event = 401
	MemberLeft   Event = 402
	// MemberWrittenOff reports a member that was removed since it sent no heartbeats.
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

// Events of jobs, from their submission to their end.
const (
	JobAccepted  Event = 1001
	JobRefused   Event = 1002
	JobCancelled Event = 1003
	JobUnknown   Event = 1004
	JobEnded     Event = 1005
	// RequestNotRouted reports a request for which the configuration in force has no
	// queue, or that arrived while the configuration might be outdated.
	RequestNotRouted Event = 1006
	// RequestUnauthenticated reports a request without a valid key.
	RequestUnauthenticated Event = 1007
	// JobEntryStarting reports the start of an entry instance of the job service.
	JobEntryStarting Event = 1010
)

// Events of the layout and of the owners of the shards.
const (
	SchedulerClaiming Event = 1101
	SchedulerRefused  Event = 1102
	SchedulerAcquired Event = 1103
	SchedulerLost     Event = 1104
	SchedulerChanged  Event = 1105
	AppendRepeated    Event = 1106
	LayoutInForce     Event = 1107
	// LayoutRefused means that this entry instance can't lay out the shards.
	LayoutRefused Event = 1108
	// SchedulerLags means that an owner gets its responses late, for want of processor time.
	SchedulerLags Event = 1109
	// OwnerProgress says regularly how far an owner has got with its shard.
	OwnerProgress Event = 1110
	// OwnerStalled means that an owner makes no progress with its shard, OwnerRecovered that it does again, and
	// OwnerRelieved that this entry instance claims the shard of an owner that has stalled or is undersized.
	OwnerStalled   Event = 1111
	OwnerRecovered Event = 1112
	OwnerRelieved  Event = 1113
	// FallbackStored means that an owner holds its shard by a record in the progress, since the digest doesn't answer.
	FallbackStored Event = 1114
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
	TaskSuspected   Event = 1210
	TaskGivenUp     Event = 1211
	// CancellationRead means that the owner has read a cancellation.
	CancellationRead Event = 1212
	// StartsWithheld means that an owner starts no tasks, since its copy of the submissions or of the
	// targets is too old, StartsResumed that it does again.
	StartsWithheld Event = 1213
	StartsResumed  Event = 1214
	EndsUnlisted   Event = 1215
	EndSuperseded  Event = 1216
)

// Events of targets that run tasks, and of planned work on their instances.
const (
	TargetUnresponsive Event = 1301
	TargetRecovered    Event = 1302
	TargetLeaseExpired Event = 1303
	TargetRestarted    Event = 1304
	TargetGone         Event = 1305
	TargetSuperseded   Event = 1306
	LeaseEndInherited  Event = 1307
	TargetCrashed      Event = 1308
	TargetCordoned     Event = 1310
	MaintenanceOrdered Event = 1311
	WaveChanged        Event = 1312
	MoveOrdered        Event = 1313
	// PoolReported says regularly what a pool has and needs, and what waits in it.
	PoolReported Event = 1314
	// TargetRetiring reports a target that takes no further tasks, because another pool lacks its instance.
	TargetRetiring Event = 1315
)

// Events of admission.
const (
	// JobNotAdmitted says by which load a job was refused.
	JobNotAdmitted Event = 1421
	// QueueOverloaded says that the owner of a shard has part of the work beyond entitlements refused.
	QueueOverloaded Event = 1422
)

// Events of the entitlements of tenants.
const (
	TenantBeyond Event = 1411
	TenantWithin Event = 1412
)

// Events of the prediction of run times.
const (
	RunTimesJudged Event = 1441
)

// Events of the caps of tenants.
const (
	// ShareGiven means that the owner of a shard gives a share of a tenant's cap to another one.
	ShareGiven Event = 1401
	// CapReached means that tasks of a tenant wait for its cap.
	CapReached Event = 1402
	// CapRelieved means that no task of a tenant waits for its cap any more.
	CapRelieved Event = 1403
	// SharesInherited means that a new owner has taken over the shares of tenants' caps that its shard has.
	SharesInherited Event = 1404
)

// Events of the sizes of pools.
const (
	// PeakExpected says that a pool gets instances for its next peak.
	PeakExpected Event = 1431
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

// Events of the connections to other entry instances.
const (
	Isolated      Event = 801
	Reconnected   Event = 802
	PeerRefused   Event = 803
	PeerMalformed Event = 804
)

// Events of the traffic between callers and targets.
const (
	ClaimsNotReady Event = 905
	ClaimsReady    Event = 906
)

// Number returns the number under which the catalogue lists the event.
func (e Event) Number() int { return int(e) }

// String returns the event's name, or its number if it isn't defined.
func (e Event) String() string {
	if d, ok := e.Definition(); ok {
		return d.name
	}
	return strconv.Itoa(int(e))
}

// Definition returns the definition of the event, or false if it has none.
func (e Event) Definition() (Definition, bool) {
	d, ok := byEvent[e]
	return d, ok
}

// Definition holds the fixed properties of an event.
type Definition struct {
	event Event
	// name is unique, in camel case.
	name  string
	level Level
	// text is one clause without a full stop.
	text string
	// fields are the keys of the fields that the event may have, sorted by name.
	fields []Key
	// rateLimited is set for events that remote parties can trigger at any rate.
	rateLimited bool
}

// Event returns the event that is defined.
func (d Definition) Event() Event { return d.event }

// Name returns the unique name of the event, in camel case.
func (d Definition) Name() string { return d.name }

// Level returns the severity of the event.
func (d Definition) Level() Level { return d.level }

// Text returns the message of the event's log line.
func (d Definition) Text() string { return d.text }

// Fields returns the keys of the fields that the event may have, sorted by name.
func (d Definition) Fields() []Key { return slices.Clone(d.fields) }

// Limited reports whether a logger limits the lines of the event per second, since
// remote parties can trigger it at any rate.
func (d Definition) Limited() bool { return d.rateLimited }

// Definitions returns the definitions of all events, ordered by number.
func Definitions() []Definition { return slices.Clone(definitions) }
