package cransnapshot

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Snapshot is the state of a reducer at an offset.
type Snapshot struct {
	offset uint64
	state  []byte
	// digest is that of offset and state.
	digest uint64
}

// New returns the snapshot of a state that has applied every record below
// the offset. The state must not be changed afterwards.
func New(offset uint64, state []byte) Snapshot {
	return Snapshot{offset: offset, state: state, digest: digestOf(offset, state)}
}

// Verify returns the snapshot that a peer or the log handed over, or fails
// with cranfault.Malformed if the digest doesn't agree with the rest.
func Verify(offset uint64, state []byte, digest uint64) (Snapshot, error) {
	s := New(offset, state)
	if s.digest == digest {
		return s, nil
	}
	return Snapshot{}, cranfault.New(cranfault.Malformed, "take another snapshot",
		"the snapshot at offset %d has digest %016x, not %016x", offset, s.digest, digest)
}

// Offset returns the offset of the first record that is not applied yet.
func (s Snapshot) Offset() uint64 { return s.offset }

// State returns the encoded state. The caller must not change it.
func (s Snapshot) State() []byte { return s.state }

// Digest returns the xxhash of the offset and the state.
func (s Snapshot) Digest() uint64 { return s.digest }

func digestOf(offset uint64, state []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	var head [8]byte
	binary.BigEndian.PutUint64(head[:], offset)
	_, _ = d.Write(head[:])
	_, _ = d.Write(state)
	return d.Sum64()
}
