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
	// digest is the xxhash of the offset and the state.
	digest uint64
}

// New returns the snapshot of an encoded state to which every record below the
// offset was applied. The caller must not change the state afterwards.
func New(offset uint64, state []byte) Snapshot {
	return Snapshot{offset: offset, state: state, digest: digestOf(offset, state)}
}

// Verify returns the snapshot with the given content, which a peer or the log has
// sent. It fails with cranfault.Malformed if the digest doesn't match the offset and
// the state.
func Verify(offset uint64, state []byte, digest uint64) (Snapshot, error) {
	s := New(offset, state)
	if s.digest == digest {
		return s, nil
	}
	return Snapshot{}, cranfault.New(cranfault.Malformed, "load another snapshot",
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
