package cranstore

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

const (
	// readSlack is added to the longest wait of a read to allow for the network.
	readSlack = 1200 * time.Millisecond
	// followPause is the pause after the first failed read. It doubles with each
	// further failure up to followPauseMax.
	followPause    = 50 * time.Millisecond
	followPauseMax = 400 * time.Millisecond
)

// Update is the outcome of one read of a topic.
type Update struct {
	// Reset is true if Records are the newest record of every key. Keys without
	// a record in them no longer exist.
	Reset   bool
	Records []Record
	// Next is the offset to read from next. End was the offset of the topic's
	// next append at the time of the read.
	Next, End uint64
	// Sent is the follower's clock when the read was sent. The update includes
	// every record that was stored before.
	Sent time.Duration
	// Transfer measures the response to the read.
	Transfer Transfer
	// Err is the error of a failed read. Records is empty then, Next is the offset of
	// the failed read, and End is the newest one known.
	Err error
}

// Follower loads the newest record of each key of a topic and then reads the
// records that follow.
type Follower struct {
	topic Topic
	clock func() time.Duration
	wait  time.Duration
	// pause returns the current pause after a read that returned records.
	pause func() time.Duration
}

// NewFollower returns a follower whose reads wait up to wait for a record. After
// a read that returned records it pauses, so that the next read returns the
// records of several milliseconds together. Update.Sent is taken from clock.
func NewFollower(topic Topic, clock func() time.Duration, wait time.Duration, pause func() time.Duration) *Follower {
	return &Follower{topic: topic, clock: clock, wait: wait, pause: pause}
}

// Run reads the topic and passes each update to deliver until ctx ends.
func (f *Follower) Run(ctx context.Context, deliver func(Update)) {
	var next, end uint64
	loaded := false
	backoff := followPause
	for ctx.Err() == nil {
		update, err := f.read(ctx, next, loaded)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, ErrExpired) {
				loaded = false
				continue
			}
			update.Next, update.End, update.Err = next, max(end, next), err
			deliver(update)
			cranpause.Sleep(ctx, backoff)
			backoff = min(2*backoff, followPauseMax)
			continue
		}
		backoff = followPause
		loaded, next, end = true, update.Next, update.End
		deliver(update)
		if len(update.Records) > 0 {
			cranpause.Sleep(ctx, f.pause())
		}
	}
}

func (f *Follower) read(ctx context.Context, next uint64, loaded bool) (Update, error) {
	m := newMeter(f.clock)
	if !loaded {
		records, end, err := load(ctx, f.topic, m.received)
		return Update{Reset: true, Records: records, Next: end, End: end, Sent: m.sent, Transfer: m.measured()}, err
	}
	limited, cancel := context.WithTimeout(ctx, f.wait+readSlack)
	defer cancel()
	batch, err := f.topic.Read(limited, next, ReadOptions{Wait: f.wait, Received: m.received})
	if err != nil {
		batch = Batch{}
	}
	return Update{Records: batch.Records, Next: batch.Next, End: batch.End, Sent: m.sent, Transfer: m.measured()}, err
}
