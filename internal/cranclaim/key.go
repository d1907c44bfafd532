package cranclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
)

// keyBytes is the length of a key in the log, in bytes.
const keyBytes = 16

// Key is the hash of a request's key. It is a truncated SHA-256 sum, so that no
// caller can choose a key that collides with that of another caller.
type Key [keyBytes]byte

// HashKey returns the hash of a request's key. The text also contains the
// service and the caller if keys are scoped to these.
func HashKey(text string) Key {
	sum := sha256.Sum256([]byte(text))
	return Key(sum[:keyBytes])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Shard returns the number of the key's shard, in the range [0, count).
func (k Key) Shard(count int) int {
	return int(binary.BigEndian.Uint64(k[:]) % uint64(count))
}

// StreamName returns the name of the stream of a shard.
func StreamName(shard int) string {
	return "claims-" + strconv.Itoa(shard)
}
