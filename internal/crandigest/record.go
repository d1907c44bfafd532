package crandigest

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// Prefixes of keys, one for each kind of record.
const (
	keyClaim   = 'c'
	keyLeases  = 'l'
	keyQuota   = 'q'
	keyRenewal = 'r'
	keySegment = 's'
	keyStripes = 'o'
	keyWave    = 'w'
	// KeyLayout is the whole key of the layout.
	KeyLayout = "layout"
	// keySeparator separates the numbers in a key.
	keySeparator = "."
)

// ClaimRecord returns the record of an owner's claim of a shard, or of its release.
func ClaimRecord(shard int, c cranjob.Claim) cranstore.Record {
	return cranstore.Record{Key: string(keyClaim) + strconv.Itoa(shard), Value: cranjob.Encode(c)}
}

// Renewal is the record by which an owner renews its claim.
type Renewal struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	// Number counts the renewals of the claim.
	Number uint64
	// Through is an offset in the submissions of the shard. The state of every job that was
	// submitted before it is in the digest.
	Through uint64
	// AppendMs is the duration of the owner's newest append in milliseconds. Other processes
	// wait longer for the next renewal while the store is slow.
	AppendMs int64
}

// Record returns the record of the renewal for a shard.
func (r Renewal) Record(shard int) cranstore.Record {
	return cranstore.Record{Key: string(keyRenewal) + strconv.Itoa(shard), Value: cranjob.Encode(r)}
}

// Stripes is the record of how far an owner has read the submissions of a shard that are divided into
// several partitions. It takes the place of [Renewal.Through], which is 0 then.
type Stripes struct {
	_     struct{} `cbor:",toarray"`
	Epoch uint64
	// Number is that of the renewal with which the record is stored.
	Number uint64
	// Through holds for each partition the offset before which all jobs are in the digest.
	Through []uint64
}

// Record returns the record for a shard.
func (t Stripes) Record(shard int) cranstore.Record {
	return cranstore.Record{Key: string(keyStripes) + strconv.Itoa(shard), Value: cranjob.Encode(t)}
}

// Leases is the record of the targets to which an owner has granted no lease since it was
// stored. Each record replaces the one before.
type Leases struct {
	_       struct{} `cbor:",toarray"`
	Epoch   uint64
	Targets []SilentTarget
}

// SilentTarget is a target that doesn't respond.
type SilentTarget struct {
	_  struct{} `cbor:",toarray"`
	ID string
	// EndsInMs is how long all leases of the target last at most, in milliseconds from when
	// the record was written.
	EndsInMs int64
}

// Record returns the record of the leases for a shard.
func (l Leases) Record(shard int) cranstore.Record {
	return cranstore.Record{Key: string(keyLeases) + strconv.Itoa(shard), Value: cranjob.Encode(l)}
}

// JobState is the state of a job, as an owner publishes it.
type JobState struct {
	ID string
	// Queue is the name of the job's queue. It is known while the job is queued; later it
	// may be empty.
	Queue string
	State cranjob.State
}

// segment is the record of states that have changed, or of the states in the segments that it
// replaces.
type segment struct {
	_ struct{} `cbor:",toarray"`
	// Merged is set if the segment has replaced others. It is never replaced itself.
	Merged bool
	Jobs   []wireJob
}

type wireJob struct {
	_     struct{} `cbor:",toarray"`
	Key   []byte
	State cranjob.State
	// Queue is the hash of the queue's name while the job is queued, and 0 later.
	Queue uint32
}

// WaveProgress is how far the owner of a shard has come with a maintenance wave.
type WaveProgress struct {
	_ struct{} `cbor:",toarray"`
	// Begun is set once the maintenance of all instances of the shard has begun, and Done
	// once none of them is down any more. Neither is ever reset.
	Begun, Done bool
}

// Record returns the record of the progress of a shard.
func (p WaveProgress) Record(wave, shard int) cranstore.Record {
	return cranstore.Record{Key: fmt.Sprintf("%c%d%s%d", keyWave, wave, keySeparator, shard), Value: cranjob.Encode(p)}
}

const (
	// keyDigits is the length of an id in hexadecimal digits, and keyBytes that of its key.
	keyDigits = 16
	keyBytes  = keyDigits / 2
	// plainPrefix begins the key of any other id. It is longer than keyBytes, so that keys
	// of the two kinds differ.
	plainPrefix = "plain id "
)

// jobKey returns the short form of a job's id.
func jobKey(id string) string {
	if len(id) == keyDigits && strings.ToLower(id) == id {
		var key [keyBytes]byte
		if n, err := strconv.ParseUint(id, 16, 64); err == nil {
			for i := range key {
				key[i] = byte(n >> (8 * (keyBytes - 1 - i)))
			}
			return string(key[:])
		}
	}
	return plainPrefix + id
}

// queueHash returns the hash of a queue's name, which is never 0.
func queueHash(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return max(h.Sum32(), 1)
}

// decode decodes a record's value. The key is only used in the error.
func decode[T any](key string, text []byte) (*T, error) {
	v := new(T)
	if err := cbor.Unmarshal(text, v); err != nil {
		return nil, malformed(key, err)
	}
	return v, nil
}

func malformed(key string, reason any) error {
	return cranfault.New(cranfault.Malformed, "find the other process that writes to the topic", "the record under %q of the digest: %v", key, reason)
}

// parseKey returns the first number in a key after its prefix, and the rest.
func parseKey(key string) (int, string, error) {
	text, rest, _ := strings.Cut(key[1:], keySeparator)
	number, err := strconv.Atoi(text)
	if err != nil || number < 0 {
		return 0, "", malformed(key, "the key has no valid number")
	}
	return number, rest, nil
}
