package cranclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"
)

// keyBytes is the length of a key in the log.
const keyBytes = 16

// Key is the hash of a request's key. It is cut from SHA-256, so that no
// caller can make another's key collide with its own.
type Key [keyBytes]byte

// HashKey returns the hash of a request's key. The text names the service and
// the caller as well where these have keys of their own.
func HashKey(text string) Key {
	sum := sha256.Sum256([]byte(text))
	return Key(sum[:keyBytes])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Shard returns the number of the shard that holds the key, below count.
func (k Key) Shard(count int) int {
	return int(binary.BigEndian.Uint64(k[:]) % uint64(count))
}

// StreamName returns the name of a shard's stream.
func StreamName(shard int) string {
	return "claims-" + strconv.Itoa(shard)
}
