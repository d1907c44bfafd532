package cranlog

import "github.com/cranberrypick/cranberrypick/internal/cranplatform"

// ring holds the most recent records of a stream, limited by number and by bytes
// of payload.
type ring struct {
	maxRecords int
	maxBytes   int
	// records are in offset order without gaps.
	records []cranplatform.Record
	bytes   int
}

// add appends the record that follows the last one, and drops the oldest records
// that exceed the limits.
func (r *ring) add(record cranplatform.Record) {
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	for len(r.records) > r.maxRecords || r.bytes > r.maxBytes {
		r.bytes -= len(r.records[0].Data)
		r.records[0] = cranplatform.Record{}
		r.records = r.records[1:]
	}
}

// relayBytes bounds the records that are relayed in one portion, apart from its first one.
// In base64 it takes a third of the default limit of a peer's message, and 0.3 s on a
// link of 10 Mbit/s.
const relayBytes = 256 << 10

// recordsFrom returns a copy of the records from offset on, up to relayBytes, and false
// if the ring no longer holds the record at that offset. The argument next is the
// offset after the last record.
func (r *ring) recordsFrom(offset, next uint64) ([]cranplatform.Record, bool) {
	first := next - uint64(len(r.records))
	if offset < first {
		return nil, false
	}
	if offset >= next {
		return nil, true
	}
	kept := r.records[offset-first:]
	bytes := 0
	for i, record := range kept {
		if bytes += len(record.Data); bytes > relayBytes && i > 0 {
			kept = kept[:i]
			break
		}
	}
	return append([]cranplatform.Record(nil), kept...), true
}
