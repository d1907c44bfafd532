package cranclaim

import "github.com/cranberrypick/cranberrypick/internal/cranlog"

// expiryQueue holds the keys of claims in the order of the claims' timestamps.
type expiryQueue struct {
	items []expiryItem
	// first is the index of the head; the items before it were removed.
	first int
}

// expiryItem is a key with the timestamp of one of its claims.
type expiryItem struct {
	timeMs int64
	key    Key
}

func (q *expiryQueue) push(key Key, timeMs int64) {
	if q.first > len(q.items)/2 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.first:])
		q.items = q.items[:n]
		q.first = 0
	}
	q.items = append(q.items, expiryItem{timeMs: timeMs, key: key})
}

func (q *expiryQueue) head() (Key, int64, bool) {
	if q.first >= len(q.items) {
		return Key{}, 0, false
	}
	item := q.items[q.first]
	return item.key, item.timeMs, true
}

func (q *expiryQueue) pop() { q.first++ }

// seenRecords detects duplicate records. It removes a writer that has had no
// record for the maximum append delay: a later duplicate of a claim is void
// anyway, and duplicates of other records have no effect.
type seenRecords struct {
	// highWater holds the highest sequence number of each writer.
	highWater cranlog.HighWater
	// lastSeenMs holds the timestamp of the last record of each writer in
	// highWater.
	lastSeenMs map[string]int64
	// sweptMs is the timestamp of the last sweep.
	sweptMs int64
}

func newSeenRecords() seenRecords {
	return seenRecords{highWater: cranlog.HighWater{}, lastSeenMs: map[string]int64{}}
}

// accept reports whether the entry was not seen before, and marks it as seen.
func (m *seenRecords) accept(entry cranlog.Entry, nowMs int64) bool {
	if !m.highWater.Accept(entry.Writer(), entry.Seq()) {
		return false
	}
	m.lastSeenMs[entry.Writer()] = nowMs
	return true
}

// sweep removes the writers that have had no record for keepMs. It runs at most
// once in that time.
func (m *seenRecords) sweep(nowMs, keepMs int64) {
	if nowMs-m.sweptMs < keepMs {
		return
	}
	m.sweptMs = nowMs
	for writer, seen := range m.lastSeenMs {
		if nowMs-seen > keepMs {
			m.highWater.Forget(writer)
			delete(m.lastSeenMs, writer)
		}
	}
}
