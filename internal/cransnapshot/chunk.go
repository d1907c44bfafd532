package cransnapshot

import (
	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
)

// Limits of the snapshots that a reader accepts.
const (
	maxChunks     = 1 << 14
	maxStateBytes = 1 << 30
)

// identity identifies a snapshot by its content.
type identity struct {
	Offset uint64 `cbor:"offset"`
	Digest uint64 `cbor:"digest"`
	// Count is the number of chunks, at least one.
	Count uint32 `cbor:"count"`
}

// chunk is one record of the snapshot stream.
type chunk struct {
	ID identity `cbor:"id"`
	// Index is below the number of chunks.
	Index uint32 `cbor:"index"`
	// Sum is the checksum of Data, its xxhash.
	Sum  uint64 `cbor:"sum"`
	Data []byte `cbor:"data"`
}

// split divides a snapshot into chunks of at most size bytes of state.
func split(s Snapshot, size int) ([]chunk, error) {
	count := max(1, (len(s.state)+size-1)/size)
	if count > maxChunks || len(s.state) > maxStateBytes {
		return nil, cranfault.New(cranfault.TooLarge, "configure larger chunks or reduce the state",
			"a state of %d bytes needs %d chunks, more than %d", len(s.state), count, maxChunks)
	}
	id := identity{Offset: s.offset, Digest: s.digest, Count: uint32(count)}
	chunks := make([]chunk, count)
	for i := range chunks {
		first := i * size
		data := s.state[first:min(first+size, len(s.state))]
		chunks[i] = chunk{ID: id, Index: uint32(i), Sum: xxhash.Sum64(data), Data: data}
	}
	return chunks, nil
}

// decodeChunk returns the chunk in a record. It reports false if the record contains
// no valid chunk or the checksum doesn't match.
func decodeChunk(data []byte) (chunk, bool) {
	c, err := cranlog.DecodePayload[chunk](data)
	if err != nil {
		return chunk{}, false
	}
	valid := c.ID.Count > 0 && c.ID.Count <= maxChunks && c.Index < c.ID.Count
	return c, valid && c.Sum == xxhash.Sum64(c.Data)
}

// assembly collects the chunks of one snapshot.
type assembly struct {
	id    identity
	parts map[uint32][]byte
	bytes int
}

func newAssembly(id identity) *assembly {
	return &assembly{id: id, parts: map[uint32][]byte{}}
}

// add adds a valid chunk. A duplicate changes nothing.
func (a *assembly) add(c chunk) {
	_, known := a.parts[c.Index]
	if known {
		return
	}
	a.parts[c.Index] = c.Data
	a.bytes += len(c.Data)
}

// complete returns the snapshot once all chunks were added and the digest matches.
func (a *assembly) complete() (Snapshot, bool) {
	if len(a.parts) < int(a.id.Count) || a.bytes > maxStateBytes {
		return Snapshot{}, false
	}
	state := make([]byte, 0, a.bytes)
	for i := range a.id.Count {
		state = append(state, a.parts[i]...)
	}
	s, err := Verify(a.id.Offset, state, a.id.Digest)
	return s, err == nil
}
