package cranembed

import (
	"context"
	"sync/atomic"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Meter wraps the log of one entry and counts its appends and reads. Bytes are those of
// the payloads, without the framing of the transport.
type Meter struct {
	cranplatform.Log
	appends       atomic.Int64
	appendedBytes atomic.Int64
	records       atomic.Int64
	readBytes     atomic.Int64
}

// Append counts the append and passes it on to the log.
func (m *Meter) Append(ctx context.Context, stream string, payloads [][]byte) (uint64, error) {
	m.appends.Add(1)
	for _, p := range payloads {
		m.appendedBytes.Add(int64(len(p)))
	}
	return m.Log.Append(ctx, stream, payloads)
}

// Read passes the read on to the log and counts the records that it returns.
func (m *Meter) Read(ctx context.Context, stream string, from uint64, maxRecords, waitMs int) (cranplatform.Batch, error) {
	b, err := m.Log.Read(ctx, stream, from, maxRecords, waitMs)
	m.records.Add(int64(len(b.Records)))
	for _, r := range b.Records {
		m.readBytes.Add(int64(len(r.Data)))
	}
	return b, err
}

// Traffic holds the counts of the traffic between an entry and the log.
type Traffic struct {
	Appends       int64 `json:"appends"`
	AppendedBytes int64 `json:"appendedBytes"`
	Records       int64 `json:"records"`
	ReadBytes     int64 `json:"readBytes"`
}

// Traffic returns the counts so far.
func (m *Meter) Traffic() Traffic {
	return Traffic{
		Appends: m.appends.Load(), AppendedBytes: m.appendedBytes.Load(),
		Records: m.records.Load(), ReadBytes: m.readBytes.Load(),
	}
}

// Sub returns the traffic since an earlier count.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{
		Appends: t.Appends - earlier.Appends, AppendedBytes: t.AppendedBytes - earlier.AppendedBytes,
		Records: t.Records - earlier.Records, ReadBytes: t.ReadBytes - earlier.ReadBytes,
	}
}
