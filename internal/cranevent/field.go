package cranevent

import (
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Key is the name of a field in a log line.
type Key string

// Keys of fields.
const (
	KeyAction      Key = "action"
	KeyAddress     Key = "address"
	KeyAgeMs       Key = "ageMs"
	KeyAppendAgeMs Key = "appendAgeMs"
	KeyArriving    Key = "arriving"
	KeyBehind      Key = "behind"
	KeyBytes       Key = "bytes"
	KeyCause       Key = "cause"
	KeyCount       Key = "count"
	KeyDataCentre  Key = "dataCentre"
	KeyDigest      Key = "digest"
	KeyDomain      Key = "domain"
	KeyElapsedMs   Key = "elapsedMs"
	KeyEmpty       Key = "empty"
	KeyEpoch       Key = "epoch"
	KeyError       Key = "error"
	KeyFile        Key = "file"
	KeyFirstByte   Key = "firstByteMs"
	KeyFirstStart  Key = "firstStartMs"
	KeyFromPhase   Key = "fromPhase"
	KeyInstance    Key = "instance"
	KeyJob         Key = "job"
	KeyLimited     Key = "limitedRounds"
	KeyMember      Key = "member"
	KeyNeeded      Key = "needed"
	KeyNumber      Key = "number"
	KeyObjectiveMs Key = "objectiveMs"
	KeyOffset      Key = "offset"
	KeyPeer        Key = "peer"
	KeyPool        Key = "pool"
	KeyPunctual    Key = "punctual"
	KeyQueue       Key = "queue"
	KeyReadAgeMs   Key = "readAgeMs"
	KeyReady       Key = "ready"
	KeyReason      Key = "reason"
	KeyRemainingMs Key = "remainingMs"
	KeyRevision    Key = "revision"
	KeyService     Key = "service"
	KeyShard       Key = "shard"
	KeySlackMs     Key = "slackMs"
	KeyStream      Key = "stream"
	KeySuppressed  Key = "suppressed"
	KeyTarget      Key = "target"
	KeyTask        Key = "task"
	KeyTenant      Key = "tenant"
	KeyTickMs      Key = "tickMs"
	KeyToPhase     Key = "toPhase"
	KeyToPool      Key = "toPool"
	KeyUnderWay    Key = "underWay"
	KeyWaiting     Key = "waiting"
	KeyWaitingLate Key = "waitingLate"
	KeyWave        Key = "wave"
	KeyWithin      Key = "withinPercent"
	KeyWithin50    Key = "within50"
	KeyWithin90    Key = "within90"
)

// Field is a typed value in the log line of an event.
type Field struct {
	key   Key
	write func(*log.Entry, string)
}

// Key returns the field's key.
func (f Field) Key() Key { return f.key }

func textField(k Key, v string) Field {
	return Field{key: k, write: func(e *log.Entry, name string) { e.Str(name, v) }}
}

func integerField(k Key, v int64) Field {
	return Field{key: k, write: func(e *log.Entry, name string) { e.Int64(name, v) }}
}

func unsignedField(k Key, v uint64) Field {
	return Field{key: k, write: func(e *log.Entry, name string) { e.Uint64(name, v) }}
}

// Action returns a field with the id of an action on the platform.
func Action(id string) Field { return textField(KeyAction, id) }

// Address returns a field with an IP address and port.
func Address(a fmt.Stringer) Field { return textField(KeyAddress, a.String()) }

// Behind returns a field with the number of records that are stored but not read yet.
func Behind(records uint64) Field { return unsignedField(KeyBehind, records) }

// Bytes returns a field with a size in bytes.
func Bytes(n int) Field { return integerField(KeyBytes, int64(n)) }

// Cause returns a field with a short cause of the event.
func Cause(cause string) Field { return textField(KeyCause, cause) }

// Count returns a field with a count. The event defines what is counted.
func Count(n int) Field { return integerField(KeyCount, int64(n)) }

// DataCentre returns a field with the name of a data centre.
func DataCentre(name string) Field { return textField(KeyDataCentre, name) }

// Digest returns a field with the digest of a state, in hexadecimal.
func Digest(sum uint64) Field { return textField(KeyDigest, fmt.Sprintf("%016x", sum)) }

// Domain returns a field with the name of a failure domain.
func Domain(name string) Field { return textField(KeyDomain, name) }

// Elapsed returns a field with a duration in whole milliseconds.
func Elapsed(d time.Duration) Field { return integerField(KeyElapsedMs, d.Milliseconds()) }

// Err returns a field with the text of an error. It writes nothing for a nil error.
func Err(err error) Field {
	return Field{key: KeyError, write: func(e *log.Entry, name string) {
		if err != nil {
			e.Str(name, err.Error())
		}
	}}
}

// File returns a field with the path of a file.
func File(path string) Field { return textField(KeyFile, path) }

// FirstByte returns a field with the time until a response began, in whole milliseconds. It
// writes nothing for 0, which means that no response began.
func FirstByte(d time.Duration) Field {
	return Field{key: KeyFirstByte, write: func(e *log.Entry, name string) {
		if d > 0 {
			e.Int64(name, d.Milliseconds())
		}
	}}
}

// FromPhase returns a field with the phase that an instance has left.
func FromPhase[P ~string](phase P) Field { return textField(KeyFromPhase, string(phase)) }

// Instance returns a field with the id of a target instance.
func Instance(id string) Field { return textField(KeyInstance, id) }

// Member returns a field with the id of an entry instance's incarnation.
func Member(id string) Field { return textField(KeyMember, id) }

// Offset returns a field with an offset of a stream.
func Offset(n uint64) Field { return unsignedField(KeyOffset, n) }

// Peer returns a field with the member or the address at the other end of a
// connection.
func Peer(id string) Field { return textField(KeyPeer, id) }

// Pool returns a field with the name of a pool.
func Pool(name string) Field { return textField(KeyPool, name) }

// Reason returns a field with the kind of a fault.
func Reason(k cranfault.Kind) Field { return textField(KeyReason, string(k)) }

// Remaining returns a field with the time until something ends. It is negative if that is in the
// past.
func Remaining(d time.Duration) Field { return integerField(KeyRemainingMs, d.Milliseconds()) }

// Revision returns a field with the revision of a configuration.
func Revision(n uint64) Field { return unsignedField(KeyRevision, n) }

// Service returns a field with the name of a service.
func Service(name string) Field { return textField(KeyService, name) }

// Shard returns a field with the part of the fleet's planned work that a lease
// covers.
func Shard(name string) Field { return textField(KeyShard, name) }

// Stream returns a field with the name of a stream of the log.
func Stream(name string) Field { return textField(KeyStream, name) }

// suppressed returns a field with the number of lines of the event that were dropped
// since the last one written.
func suppressed(n int) Field { return integerField(KeySuppressed, int64(n)) }

// ToPhase returns a field with the phase that an instance has entered.
func ToPhase[P ~string](phase P) Field { return textField(KeyToPhase, string(phase)) }

// ToPool returns a field with the pool that an instance moves to.
func ToPool(name string) Field { return textField(KeyToPool, name) }

// Wave returns a field with the number of a maintenance wave.
func Wave(id uint64) Field { return unsignedField(KeyWave, id) }

// Age returns a field with the age of the information behind the event, in whole
// milliseconds.
func Age(d time.Duration) Field { return integerField(KeyAgeMs, d.Milliseconds()) }

// AppendAge returns a field with the time for which an append has been unanswered.
func AppendAge(d time.Duration) Field { return integerField(KeyAppendAgeMs, d.Milliseconds()) }

// ReadAge returns a field with the time since every stored submission was read.
func ReadAge(d time.Duration) Field { return integerField(KeyReadAgeMs, d.Milliseconds()) }

// Ready returns a field with the number of stages that have waiting tasks and could run.
func Ready(n int) Field { return integerField(KeyReady, int64(n)) }

// Tick returns a field with the longest time that a tick of a scheduler has taken, in whole milliseconds.
func Tick(d time.Duration) Field { return integerField(KeyTickMs, d.Milliseconds()) }

// UnderWay returns a field with the number of starts that wait for a response.
func UnderWay(n int) Field { return integerField(KeyUnderWay, int64(n)) }

// Arriving returns a field with the number of instances on their way to a pool.
func Arriving(n int) Field { return integerField(KeyArriving, int64(n)) }

// Empty returns a field with the number of a pool's instances on which nothing runs.
func Empty(n int) Field { return integerField(KeyEmpty, int64(n)) }

// Needed returns a field with the number of instances that all work of a pool needs.
func Needed(n int) Field { return integerField(KeyNeeded, int64(n)) }

// Punctual returns a field with the number of instances that the work of a pool needs that can still
// complete in time.
func Punctual(n int) Field { return integerField(KeyPunctual, int64(n)) }

// WaitingLate returns a field with the number of waiting tasks whose job can't complete in time any more.
func WaitingLate(n int) Field { return integerField(KeyWaitingLate, int64(n)) }

// Within50 returns a field with the number of runs that ended within their predicted median.
func Within50(n int) Field { return integerField(KeyWithin50, int64(n)) }

// Within90 returns a field with the number of runs that ended within their predicted 90% quantile.
func Within90(n int) Field { return integerField(KeyWithin90, int64(n)) }

// LimitedRounds returns a field with the number of rounds of placement that ended at the limit on starts.
func LimitedRounds(n int) Field { return integerField(KeyLimited, int64(n)) }

// Objective returns a field with the time from the receipt of a job to its soft deadline.
func Objective(d time.Duration) Field { return integerField(KeyObjectiveMs, d.Milliseconds()) }

// FirstStart returns a field with the time from the receipt of a job to its first placement.
func FirstStart(d time.Duration) Field { return integerField(KeyFirstStart, d.Milliseconds()) }

// Slack returns a field with the time to a soft deadline beyond the expected duration of the remaining work.
func Slack(d time.Duration) Field { return integerField(KeySlackMs, d.Milliseconds()) }

// Waiting returns a field with the number of tasks that could run and wait for a target.
func Waiting(n int) Field { return integerField(KeyWaiting, int64(n)) }

// WithinPercent returns a field with the percentage of recent jobs that is within an entitlement.
func WithinPercent(n int) Field { return integerField(KeyWithin, int64(n)) }

// Epoch returns a field with the epoch of a scheduler's claim, which is the fencing
// token of its orders.
func Epoch(n uint64) Field { return unsignedField(KeyEpoch, n) }

// Job returns a field with the id of a job.
func Job(id string) Field { return textField(KeyJob, id) }

// Number returns a field with a number, such as that of a run or of a wave. The event
// defines its meaning.
func Number(n int) Field { return integerField(KeyNumber, int64(n)) }

// Queue returns a field with the name of a queue of jobs.
func Queue(name string) Field { return textField(KeyQueue, name) }

// Target returns a field with the id of a target or of its instance.
func Target(id string) Field { return textField(KeyTarget, id) }

// Task returns a field with the name of a task, which consists of job, occurrence,
// step and index.
func Task(name string) Field { return textField(KeyTask, name) }

// Tenant returns a field with the name of a tenant, which is empty for a job without one.
func Tenant(name string) Field { return textField(KeyTenant, name) }
