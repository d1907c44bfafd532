package cranevent

import (
	"fmt"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Key is the name of a field in a line of the log.
type Key string

// Keys of fields.
const (
	KeyAction     Key = "action"
	KeyAddress    Key = "address"
	KeyAgeMs      Key = "ageMs"
	KeyBytes      Key = "bytes"
	KeyCause      Key = "cause"
	KeyCount      Key = "count"
	KeyDataCentre Key = "dataCentre"
	KeyDigest     Key = "digest"
	KeyDomain     Key = "domain"
	KeyElapsedMs  Key = "elapsedMs"
	KeyEpoch      Key = "epoch"
	KeyError      Key = "error"
	KeyFile       Key = "file"
	KeyFromPhase  Key = "fromPhase"
	KeyInstance   Key = "instance"
	KeyJob        Key = "job"
	KeyMember     Key = "member"
	KeyNumber     Key = "number"
	KeyOffset     Key = "offset"
	KeyPeer       Key = "peer"
	KeyPool       Key = "pool"
	KeyQueue      Key = "queue"
	KeyReason     Key = "reason"
	KeyRevision   Key = "revision"
	KeyService    Key = "service"
	KeyShard      Key = "shard"
	KeyStream     Key = "stream"
	KeySuppressed Key = "suppressed"
	KeyTarget     Key = "target"
	KeyTask       Key = "task"
	KeyToPhase    Key = "toPhase"
	KeyToPool     Key = "toPool"
	KeyWave       Key = "wave"
)

// Field is one typed value of an event.
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

// Action names an action on the platform by its id.
func Action(id string) Field { return textField(KeyAction, id) }

// Address is an IP number with a port.
func Address(a fmt.Stringer) Field { return textField(KeyAddress, a.String()) }

// Bytes is a size in bytes.
func Bytes(n int) Field { return integerField(KeyBytes, int64(n)) }

// Cause says in a word why an instance changed its phase.
func Cause(word string) Field { return textField(KeyCause, word) }

// Count is a number of things; the event's text says of which.
func Count(n int) Field { return integerField(KeyCount, int64(n)) }

// DataCentre is the name of a data centre.
func DataCentre(name string) Field { return textField(KeyDataCentre, name) }

// Digest is the digest of a state, written in hexadecimal.
func Digest(sum uint64) Field { return textField(KeyDigest, fmt.Sprintf("%016x", sum)) }

// Domain is the name of a failure domain.
func Domain(name string) Field { return textField(KeyDomain, name) }

// Elapsed is a duration, written in whole milliseconds.
func Elapsed(d time.Duration) Field { return integerField(KeyElapsedMs, d.Milliseconds()) }

// Err is the text of an error.
func Err(err error) Field {
	return Field{key: KeyError, write: func(e *log.Entry, name string) {
		if err != nil {
			e.Str(name, err.Error())
		}
	}}
}

// File is the path of a file.
func File(path string) Field { return textField(KeyFile, path) }

// FromPhase is the phase that an instance has left.
func FromPhase[P ~string](phase P) Field { return textField(KeyFromPhase, string(phase)) }

// Instance is the id of a target instance.
func Instance(id string) Field { return textField(KeyInstance, id) }

// Member is the id of an entry instance's incarnation.
func Member(id string) Field { return textField(KeyMember, id) }

// Offset is an offset of a stream.
func Offset(n uint64) Field { return unsignedField(KeyOffset, n) }

// Peer is the member or the address at the other end of a connection.
func Peer(id string) Field { return textField(KeyPeer, id) }

// Pool is the name of a pool.
func Pool(name string) Field { return textField(KeyPool, name) }

// Reason is the kind of a fault.
func Reason(k cranfault.Kind) Field { return textField(KeyReason, string(k)) }

// Revision is the revision of a configuration.
func Revision(n uint64) Field { return unsignedField(KeyRevision, n) }

// Service is the name of a service.
func Service(name string) Field { return textField(KeyService, name) }

// Shard is the part of the fleet's planned work that a lease is for.
func Shard(name string) Field { return textField(KeyShard, name) }

// Stream is the name of a stream of the log.
func Stream(name string) Field { return textField(KeyStream, name) }

// suppressed is the number of lines of the event that were left out before.
func suppressed(n int) Field { return integerField(KeySuppressed, int64(n)) }

// ToPhase is the phase that an instance has entered.
func ToPhase[P ~string](phase P) Field { return textField(KeyToPhase, string(phase)) }

// ToPool is the pool that an instance moves to.
func ToPool(name string) Field { return textField(KeyToPool, name) }

// Wave is the number of a maintenance wave.
func Wave(id uint64) Field { return unsignedField(KeyWave, id) }

// Age is how old the information is that decided, in whole milliseconds.
func Age(d time.Duration) Field { return integerField(KeyAgeMs, d.Milliseconds()) }

// Epoch is the epoch of a scheduler's claim, the fencing token of its orders.
func Epoch(n uint64) Field { return unsignedField(KeyEpoch, n) }

// Job is the id of a job.
func Job(id string) Field { return textField(KeyJob, id) }

// Number is the number of a run, a wave or a share; the event's text says which.
func Number(n int) Field { return integerField(KeyNumber, int64(n)) }

// Queue is the name of a queue of jobs.
func Queue(name string) Field { return textField(KeyQueue, name) }

// Target is the id of a target, or of its instance.
func Target(id string) Field { return textField(KeyTarget, id) }

// Task is the name of a task: job, occurrence, step and index.
func Task(name string) Field { return textField(KeyTask, name) }
