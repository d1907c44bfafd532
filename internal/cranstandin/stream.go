package cranstandin

import (
	"bytes"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// StreamCounters counts a stream's traffic since the stream was created. Byte
// counts include the content of records, without protocol overhead.
type StreamCounters struct {
	Stream  string `json:"stream"`
	Appends int    `json:"appends"`
	Records int    `json:"records"`
	BytesIn int    `json:"bytesIn"`
	// Reads counts the reads that returned records.
	Reads    int `json:"reads"`
	BytesOut int `json:"bytesOut"`
}

// stream is one sequence of records. The log's mutex guards it.
type stream struct {
	// records holds the kept records. Their offsets are consecutive and start
	// at oldest.
	records []cranplatform.Record
	// oldest is the lowest kept offset, or the next offset if no record is kept.
	oldest uint64
	// lastMs is the newest timestamp, in milliseconds since the Unix epoch.
	// Timestamps never decrease.
	lastMs int64
	// counters counts the traffic since the stream was created.
	counters StreamCounters
	// changed is closed and replaced on every append.
	changed chan struct{}
}

func newStream(name string) *stream {
	return &stream{counters: StreamCounters{Stream: name}, changed: make(chan struct{})}
}

// next returns the offset of the next append.
func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }

// append adds payloads with a timestamp and returns the offset of the first.
func (s *stream) append(payloads [][]byte, nowMs int64) uint64 {
	first := s.next()
	s.lastMs = max(s.lastMs, nowMs)
	for n, p := range payloads {
		r := cranplatform.Record{Offset: first + uint64(n), TimeMs: s.lastMs, Data: bytes.Clone(p)}
		s.records = append(s.records, r)
		s.counters.BytesIn += len(p)
	}
	s.counters.Appends++
	s.counters.Records += len(payloads)
	close(s.changed)
	s.changed = make(chan struct{})
	return first
}

// limitRecords drops the oldest records so that at most count remain.
func (s *stream) limitRecords(count int) {
	if excess := len(s.records) - count; excess > 0 {
		s.dropBefore(s.oldest + uint64(excess))
	}
}

// dropOlder drops the records with a timestamp before beforeMs.
func (s *stream) dropOlder(beforeMs int64) {
	for _, r := range s.records {
		if r.TimeMs >= beforeMs {
			s.dropBefore(r.Offset)
			return
		}
	}
	s.dropBefore(s.next())
}

// dropBefore drops the records below an offset.
func (s *stream) dropBefore(offset uint64) {
	if offset <= s.oldest {
		return
	}
	count := min(offset-s.oldest, uint64(len(s.records)))
	clear(s.records[:count])
	s.records = s.records[count:]
	s.oldest += count
}

// readFrom copies at most maxRecords records, starting at an offset. It stops
// before their content exceeds maxReadBytes, but always returns the first
// record, so that a read makes progress.
func (s *stream) readFrom(from uint64, maxRecords int) []cranplatform.Record {
	if from >= s.next() {
		return nil
	}
	kept := s.records[from-s.oldest:]
	kept = kept[:min(len(kept), maxRecords, maxReadRecords)]
	out := make([]cranplatform.Record, 0, len(kept))
	total := 0
	for _, r := range kept {
		total += len(r.Data)
		if total > maxReadBytes && len(out) > 0 {
			break
		}
		r.Data = bytes.Clone(r.Data)
		out = append(out, r)
		s.counters.BytesOut += len(r.Data)
	}
	s.counters.Reads++
	return out
}
