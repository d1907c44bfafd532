package cranclaim

import "github.com/cranberrypick/cranberrypick/internal/cranlog"

// expiryQueue holds keys in the order of their stamps.
type expiryQueue struct {
	items []expiryItem
	// first is the index of the head; what lies before it is free.
	first int
}

// expiryItem is one claim of a key.
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

// marks drops repeats. Marks are forgotten some time after the writer's last
// record: a repeat of a claim that comes later is void anyway, and repeats of
// other records do no harm.
type marks struct {
	high cranlog.HighWater
	// seenMs holds the stamp of the last record of each writer in high.
	seenMs map[string]int64
	// sweptMs is the stamp at which old marks were last dropped.
	sweptMs int64
}

func newMarks() marks {
	return marks{high: cranlog.HighWater{}, seenMs: map[string]int64{}}
}

// accept reports whether the entry was not seen before, and marks it seen.
func (m *marks) accept(entry cranlog.Entry, nowMs int64) bool {
	if !m.high.Accept(entry.Writer(), entry.Seq()) {
		return false
	}
	m.seenMs[entry.Writer()] = nowMs
	return true
}

// sweep drops the marks of writers not seen for keepMs, once in that time.
func (m *marks) sweep(nowMs, keepMs int64) {
	if nowMs-m.sweptMs < keepMs {
		return
	}
	m.sweptMs = nowMs
	for writer, seen := range m.seenMs {
		if nowMs-seen > keepMs {
			m.high.Forget(writer)
			delete(m.seenMs, writer)
		}
	}
}
