package cranevent

import "slices"

func define(event Event, name string, level Level, text string, fields ...Key) Definition {
	return Definition{event: event, name: name, level: level, text: text, fields: fields}
}

// rateLimited marks an event that remote parties can trigger at any rate, and adds
// the field with the number of lines that the logger has dropped.
func rateLimited(d Definition) Definition {
	d.rateLimited = true
	d.fields = append(d.fields, KeySuppressed)
	slices.Sort(d.fields)
	return d
}

// definitions holds the definitions of all events, ordered by number. Numbers and
// names are unique.
var definitions = []Definition{
	define(EntryStarting, "entryStarting", LevelInfo, "the entry instance starts",
		KeyAddress, KeyDataCentre, KeyDomain, KeyMember),
	define(EntryReady, "entryReady", LevelInfo, "the entry instance takes requests",
		KeyElapsedMs, KeyMember, KeyOffset, KeyRevision),
	define(EntryNotReady, "entryNotReady", LevelWarn, "the entry instance takes no requests",
		KeyError, KeyMember, KeyReason),
	define(EntryStopping, "entryStopping", LevelInfo, "the entry instance stops once its requests are answered",
		KeyCount, KeyMember),
	define(EntryStopped, "entryStopped", LevelInfo, "the entry instance has stopped",
		KeyElapsedMs, KeyMember),
	define(SettingsLoaded, "settingsLoaded", LevelInfo, "the settings are loaded",
		KeyFile),
	define(SettingsRefused, "settingsRefused", LevelWarn, "changed settings can't be used",
		KeyError, KeyFile),
	define(SettingsNeedRestart, "settingsNeedRestart", LevelWarn, "changed settings take effect at the next start",
		KeyFile),

	define(ConfigurationAccepted, "configurationAccepted", LevelInfo, "a configuration is accepted",
		KeyOffset, KeyRevision),
	define(ConfigurationRefused, "configurationRefused", LevelWarn, "a configuration is refused",
		KeyError, KeyOffset, KeyReason, KeyRevision),
	define(ConfigurationInForce, "configurationInForce", LevelInfo, "a configuration is in effect on this entry instance",
		KeyAgeMs, KeyBehind, KeyElapsedMs, KeyOffset, KeyRevision),
	define(ConfigurationOutdated, "configurationOutdated", LevelWarn, "the configuration may be outdated; requests are refused",
		KeyAgeMs, KeyRevision),
	define(ConfigurationConfirmed, "configurationConfirmed", LevelInfo, "the configuration is confirmed again",
		KeyAgeMs, KeyElapsedMs, KeyRevision),

	define(LogUnavailable, "logUnavailable", LevelWarn, "the log can't be reached",
		KeyBehind, KeyBytes, KeyElapsedMs, KeyError, KeyFirstByte, KeyOffset, KeyStream),
	define(LogAvailable, "logBack", LevelInfo, "the log can be reached again",
		KeyElapsedMs, KeyOffset, KeyStream),
	define(RecordsExpired, "recordsExpired", LevelWarn, "records have expired before they were read",
		KeyOffset, KeyStream),
	rateLimited(define(MalformedRecord, "malformedRecord", LevelWarn, "a malformed record is skipped",
		KeyError, KeyOffset, KeyStream)),
	define(SnapshotWritten, "snapshotWritten", LevelInfo, "a snapshot is written",
		KeyBytes, KeyCount, KeyDigest, KeyElapsedMs, KeyOffset),
	define(SnapshotLoaded, "snapshotLoaded", LevelInfo, "a snapshot is loaded",
		KeyBytes, KeyDigest, KeyElapsedMs, KeyOffset, KeyPeer),
	define(SnapshotFailed, "snapshotFailed", LevelError, "a snapshot couldn't be written or loaded",
		KeyError, KeyOffset, KeyPeer),

	define(MemberJoined, "memberJoined", LevelInfo, "an entry instance has joined",
		KeyAddress, KeyDataCentre, KeyDomain, KeyMember, KeyOffset),
	define(MemberLeft, "memberLeft", LevelInfo, "an entry instance has left",
		KeyMember, KeyOffset),
	define(MemberWrittenOff, "memberWrittenOff", LevelWarn, "an entry instance without heartbeats is removed from the membership",
		KeyMember, KeyOffset),
	define(LeaseTaken, "leaseTaken", LevelInfo, "a lease is taken",
		KeyMember, KeyOffset, KeyShard),

	define(StopRefused, "stopRefused", LevelWarn, "a planned stop is refused",
		KeyError, KeyInstance, KeyOffset, KeyPool, KeyReason, KeyWave),
	define(StopCordoned, "stopCordoned", LevelInfo, "this entry instance sends an instance no new work",
		KeyCount, KeyInstance, KeyOffset, KeyPool),
	define(StopBarrierPassed, "stopBarrierPassed", LevelInfo, "every entry instance has finished its work on an instance",
		KeyElapsedMs, KeyInstance, KeyOffset, KeyPool),
	define(StopRebooted, "stopRebooted", LevelInfo, "an instance has rebooted",
		KeyAction, KeyElapsedMs, KeyInstance, KeyPool),
	define(StopCompleted, "stopBack", LevelInfo, "an instance takes work again",
		KeyElapsedMs, KeyInstance, KeyOffset, KeyPool),
	define(StopCancelled, "stopCancelled", LevelInfo, "a planned stop is cancelled and the instance takes work again",
		KeyInstance, KeyOffset, KeyPool),
	define(InstanceLost, "instanceLost", LevelWarn, "an instance is lost without a planned stop",
		KeyDomain, KeyInstance, KeyOffset, KeyPool),
	define(InstanceChanged, "instanceChanged", LevelDebug, "an instance has changed its phase",
		KeyCause, KeyFromPhase, KeyInstance, KeyOffset, KeyPool, KeyToPhase),
	define(InstanceReady, "instanceReady", LevelInfo, "a new instance takes work",
		KeyDomain, KeyInstance, KeyOffset, KeyPool),

	define(MoveDone, "moveDone", LevelInfo, "an instance has moved to its new pool",
		KeyElapsedMs, KeyInstance, KeyOffset, KeyPool, KeyToPool),

	define(WaveStarted, "waveStarted", LevelInfo, "a maintenance wave starts",
		KeyCount, KeyOffset, KeyWave),
	define(WaveHalted, "waveHalted", LevelError, "a maintenance wave is halted",
		KeyCount, KeyError, KeyOffset, KeyReason, KeyWave),
	define(WaveResumed, "waveResumed", LevelInfo, "a maintenance wave is resumed",
		KeyCount, KeyOffset, KeyWave),
	define(WaveDone, "waveDone", LevelInfo, "a maintenance wave is done",
		KeyCount, KeyElapsedMs, KeyOffset, KeyWave),
	define(WaveCancelled, "waveCancelled", LevelInfo, "a maintenance wave is cancelled",
		KeyCount, KeyOffset, KeyWave),

	define(Isolated, "isolated", LevelError, "neither the log nor a peer can be reached",
		KeyElapsedMs, KeyOffset),
	define(Reconnected, "reconnected", LevelInfo, "the log or a peer can be reached again",
		KeyElapsedMs, KeyOffset),
	rateLimited(define(PeerRefused, "peerRefused", LevelWarn, "an unknown peer is refused",
		KeyAddress, KeyPeer, KeyReason)),
	rateLimited(define(PeerMalformed, "peerMalformed", LevelWarn, "a malformed message of a peer is dropped",
		KeyAddress, KeyBytes, KeyError, KeyPeer, KeyReason)),

	define(ClaimsNotReady, "claimsNotReady", LevelWarn, "claims can't be recorded; non-idempotent requests are refused",
		KeyError, KeyReason, KeyStream),
	define(ClaimsReady, "claimsReady", LevelInfo, "claims can be recorded again",
		KeyElapsedMs, KeyOffset, KeyStream),

	define(JobAccepted, "jobAccepted", LevelInfo, "a job is accepted and stored",
		KeyElapsedMs, KeyJob, KeyOffset, KeyQueue),
	rateLimited(define(JobRefused, "jobRefused", LevelWarn, "a job is not accepted",
		KeyError, KeyJob, KeyQueue, KeyReason)),
	define(JobCancelled, "jobCancelled", LevelInfo, "a job is cancelled",
		KeyJob, KeyOffset),
	rateLimited(define(JobUnknown, "jobUnknown", LevelInfo, "a caller asks for a job that does not exist",
		KeyJob, KeyOffset)),
	define(JobEnded, "jobEnded", LevelInfo, "a job has ended",
		KeyAgeMs, KeyCause, KeyJob),
	rateLimited(define(RequestNotRouted, "requestNotRouted", LevelInfo, "a request is routed to no queue",
		KeyAgeMs, KeyError, KeyReason, KeyRevision)),
	define(JobEntryStarting, "jobEntryStarting", LevelInfo, "the entry instance of the job service starts",
		KeyDataCentre, KeyMember),
	define(SchedulerClaiming, "schedulerClaiming", LevelInfo, "this entry instance claims a shard",
		KeyElapsedMs, KeyEpoch, KeyShard),
	define(SchedulerRefused, "schedulerRefused", LevelInfo, "a claim of a shard is refused",
		KeyEpoch, KeyError, KeyShard),
	define(SchedulerAcquired, "schedulerTaken", LevelInfo, "this entry instance schedules a shard",
		KeyCount, KeyElapsedMs, KeyEpoch, KeyOffset, KeyShard),
	define(SchedulerLost, "schedulerLost", LevelWarn, "this entry instance no longer owns a shard",
		KeyCause, KeyEpoch, KeyShard),
	define(SchedulerChanged, "schedulerChanged", LevelInfo, "another claim of a shard is in effect",
		KeyEpoch, KeyMember, KeyShard),
	rateLimited(define(AppendRepeated, "appendRepeated", LevelWarn, "the scheduler repeats an append",
		KeyEpoch, KeyError)),
	define(LayoutInForce, "layoutInForce", LevelInfo, "the layout of the shards is known",
		KeyCount, KeyOffset),
	define(LayoutRefused, "layoutRefused", LevelError, "the shards can't be laid out",
		KeyError),
	define(RunPlaced, "runPlaced", LevelInfo, "a run is placed on a target",
		KeyAgeMs, KeyJob, KeyNumber, KeyTarget, KeyTask),
	define(RunUnanswered, "runUnanswered", LevelWarn, "a request to start a run got no response",
		KeyAgeMs, KeyJob, KeyNumber, KeyTarget, KeyTask),
	define(RunRefused, "runRefused", LevelWarn, "a target refused to start a run",
		KeyCause, KeyJob, KeyNumber, KeyTarget, KeyTask),
	define(RunEnded, "runEnded", LevelInfo, "a run has ended",
		KeyCause, KeyJob, KeyNumber, KeyTarget, KeyTask),
	define(RunStopped, "runStopped", LevelInfo, "a run is to be stopped",
		KeyCause, KeyJob, KeyNumber, KeyTarget, KeyTask),
	define(RunUnknown, "runUnknown", LevelWarn, "a target has a run that the scheduler does not know",
		KeyJob, KeyNumber, KeyTarget, KeyTask),
	define(RunReleased, "runReleased", LevelInfo, "a run is known to have ended or never to start",
		KeyCause, KeyJob, KeyNumber, KeyTarget, KeyTask),
	rateLimited(define(ThrottleChanged, "paceChanged", LevelInfo, "the throttle of a best-effort task changes",
		KeyJob, KeyNumber, KeyTarget, KeyTask)),
	define(EndWithheld, "endWithheld", LevelWarn, "the end of a run was reported too late to be acknowledged",
		KeyJob, KeyNumber, KeyTarget, KeyTask),
	define(TargetUnresponsive, "targetLost", LevelWarn, "a target does not respond",
		KeyAgeMs, KeyTarget),
	define(TargetRecovered, "targetBack", LevelInfo, "a target responds again",
		KeyAgeMs, KeyTarget),
	define(TargetLeaseExpired, "targetLapsed", LevelWarn, "the lease of an unresponsive target has expired",
		KeyAgeMs, KeyTarget),
	define(TargetRestarted, "targetReborn", LevelInfo, "a target has restarted under the same id",
		KeyTarget),
	define(TargetGone, "targetGone", LevelInfo, "a target is gone",
		KeyAgeMs, KeyCause, KeyTarget),
	define(TargetSuperseded, "targetSuperseded", LevelWarn, "a target has accepted a scheduler with a higher epoch",
		KeyTarget),
	define(LeaseEndInherited, "leaseEndInherited", LevelInfo, "the end of a silent target's leases is taken from the previous owner",
		KeyAgeMs, KeyEpoch, KeyRemainingMs, KeyShard, KeyTarget),
	define(TargetCordoned, "targetCordoned", LevelInfo, "a target is cordoned for planned work",
		KeyCause, KeyTarget),
	define(MaintenanceOrdered, "upkeepOrdered", LevelInfo, "the maintenance of an instance is ordered",
		KeyNumber, KeyTarget),
	define(WaveChanged, "waveChanged", LevelInfo, "a maintenance wave changes its state",
		KeyCause, KeyNumber),
	define(MoveOrdered, "moveOrdered", LevelInfo, "the move of an instance is ordered",
		KeyCause, KeyNumber, KeyTarget),
}

// byEvent maps each event to its definition.
var byEvent = func() map[Event]Definition {
	m := make(map[Event]Definition, len(definitions))
	for _, d := range definitions {
		m[d.event] = d
	}
	return m
}()
