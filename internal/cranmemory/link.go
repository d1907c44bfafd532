package cranmemory

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// segmentBytes is the size of the parts in which a link delivers a response.
const segmentBytes = 4 << 10

// Link simulates the network link of a process: the responses to all reads share its
// rate, and arrive in parts.
type Link struct {
	bytesPerSecond int

	mu sync.Mutex
	// active is the number of responses that are being received.
	active int
	// cut is true while reads get no response.
	cut bool
	// received is the total number of bytes received.
	received int
}

// NewLink returns a link with a rate in bytes per second.
func NewLink(bytesPerSecond int) *Link { return &Link{bytesPerSecond: bytesPerSecond} }

// SetCut sets whether reads get no response.
func (l *Link) SetCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = on
}

// Received returns the total number of bytes received, those of failed reads included.
func (l *Link) Received() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.received
}

// Connect returns a topic whose responses arrive over the link.
func (l *Link) Connect(t *Topic) cranstore.Topic { return &linkedTopic{Topic: t, link: l} }

// add changes the number of responses that are being received.
func (l *Link) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += n
}

// share returns the time that a number of bytes takes at the present share of the rate.
// It reports false while the link is cut.
func (l *Link) share(bytes int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.active) * time.Duration(bytes) * time.Second / time.Duration(l.bytesPerSecond), !l.cut
}

// receive transfers a response and returns how many bytes have arrived before ctx ends.
func (l *Link) receive(ctx context.Context, size int, observe func(bytes int)) (int, error) {
	l.add(1)
	defer l.add(-1)
	for arrived := 0; ; {
		part := min(size-arrived, segmentBytes)
		duration, open := l.share(part)
		if !open {
			<-ctx.Done()
		}
		cranpause.Sleep(ctx, duration)
		if ctx.Err() != nil {
			return arrived, ctx.Err()
		}
		arrived += part
		l.mu.Lock()
		l.received += part
		l.mu.Unlock()
		if observe != nil {
			observe(part)
		}
		if arrived == size {
			return arrived, nil
		}
	}
}

// linkedTopic is a topic at the other end of a link.
type linkedTopic struct {
	*Topic
	link *Link
}

// Sizes of the parts of responses apart from keys and values, in bytes.
const (
	headerBytes      = 16
	recordFrameBytes = 5
	itemFrameBytes   = 40
)

// Read returns the complete records that have arrived when the response ends or ctx does.
func (t *linkedTopic) Read(ctx context.Context, from uint64, o cranstore.ReadOptions) (cranstore.Batch, error) {
	batch, err := t.Topic.Read(ctx, from, o)
	if err != nil {
		return batch, err
	}
	size := headerBytes
	for _, r := range batch.Records {
		size += recordBytes(r)
	}
	arrived, err := t.link.receive(ctx, size, o.Received)
	arrived -= headerBytes
	if arrived < 0 {
		return cranstore.Batch{}, err
	}
	complete := 0
	for _, r := range batch.Records {
		if arrived -= recordBytes(r); arrived < 0 {
			break
		}
		complete++
	}
	batch.Records, batch.Next = batch.Records[:complete], from+uint64(complete)
	return batch, err
}

func recordBytes(r cranstore.Record) int { return recordFrameBytes + len(r.Key) + len(r.Value) }

// Newest returns a page only once all of it has arrived. Values are transferred in base64.
func (t *linkedTopic) Newest(ctx context.Context, after string, received func(bytes int)) (cranstore.Page, error) {
	page, err := t.Topic.Newest(ctx, after, received)
	if err != nil {
		return page, err
	}
	size := headerBytes
	for _, r := range page.Records {
		size += itemFrameBytes + len(r.Key) + (len(r.Value)+2)/3*4
	}
	if _, err := t.link.receive(ctx, size, received); err != nil {
		return cranstore.Page{}, err
	}
	return page, nil
}

// End returns the offset of the next append.
func (t *linkedTopic) End(ctx context.Context, from uint64) (uint64, error) {
	batch, err := t.Read(ctx, from, cranstore.ReadOptions{MaxBytes: 1})
	return batch.End, err
}
