package cranlog

import "maps"

// HighWater holds the high-water mark of each writer: the highest sequence
// number seen. The first occurrences of a writer's records are in order, so a
// record at or below the mark is a duplicate. Snapshots store the marks as this
// map.
type HighWater map[string]uint64

// Fresh reports whether the record was not seen before, without marking it as
// seen.
func (h HighWater) Fresh(writer string, seq uint64) bool {
	return seq > h[writer]
}

// Accept reports whether the record was not seen before, and marks it as seen.
func (h HighWater) Accept(writer string, seq uint64) bool {
	if !h.Fresh(writer, seq) {
		return false
	}
	h[writer] = seq
	return true
}

// Forget removes the mark of a writer. It is safe only when no append of that
// writer can still take effect: otherwise a delayed duplicate would be accepted as new.
func (h HighWater) Forget(writer string) { delete(h, writer) }

// Clone returns an independent copy.
func (h HighWater) Clone() HighWater { return maps.Clone(h) }
