package cranstore

import (
	"sync"
	"time"
)

// Transfer measures the response to one read.
type Transfer struct {
	// Bytes is the size of the part of the response that has arrived.
	Bytes int
	// FirstByte is the time from the request until the response began; 0 if it did not.
	FirstByte time.Duration
	// Elapsed is the time from the request until the end of the response, or until
	// the read failed.
	Elapsed time.Duration
}

// meter measures a transfer.
type meter struct {
	clock func() time.Duration
	// sent is when the request was sent, by clock.
	sent time.Duration
	// mu guards transfer, since parts of a response arrive in another goroutine.
	mu       sync.Mutex
	transfer Transfer
}

func newMeter(clock func() time.Duration) *meter { return &meter{clock: clock, sent: clock()} }

// received records that a part of the response has arrived.
func (m *meter) received(bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.transfer.FirstByte == 0 {
		m.transfer.FirstByte = m.clock() - m.sent
	}
	m.transfer.Bytes += bytes
}

// measured returns the transfer up to now.
func (m *meter) measured() Transfer {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.transfer.Elapsed = m.clock() - m.sent
	return m.transfer
}
