package cranlog

import "maps"

// HighWater holds the highest sequence number seen of each writer. The first
// occurrences of a writer's records are in order, so whatever stands at or
// below the mark is a repeat. The map has the form in which a snapshot keeps
// it.
type HighWater map[string]uint64

// Fresh reports whether the record was not seen before. It changes nothing.
func (h HighWater) Fresh(writer string, seq uint64) bool {
	return seq > h[writer]
}

// Accept reports whether the record was not seen before, and marks it seen.
func (h HighWater) Accept(writer string, seq uint64) bool {
	if !h.Fresh(writer, seq) {
		return false
	}
	h[writer] = seq
	return true
}

// Forget drops the mark of a writer. It is safe only when no append of that
// writer can still be under way, for then its late repeat would look fresh.
func (h HighWater) Forget(writer string) { delete(h, writer) }

// Clone returns an independent copy.
func (h HighWater) Clone() HighWater { return maps.Clone(h) }
