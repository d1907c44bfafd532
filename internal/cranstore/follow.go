package cranstore

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

const (
	// readSlack is added to the longest wait of a read for the answer to travel.
	readSlack = 1200 * time.Millisecond
	// followPause and followPauseMax bound the pause after a failed read.
	followPause    = 50 * time.Millisecond
	followPauseMax = 400 * time.Millisecond
)

// Update is what one read brought.
type Update struct {
	// Reset means that Records are the newest of every key, and that keys
	// which they lack are gone.
	Reset   bool
	Records []Record
	// Next is the offset to read from next, End the end that the topic had.
	Next, End uint64
	// Sent is when the read was sent; the records are at least that new.
	Sent time.Duration
	// Err is the failure of the read; the other fields are zero then.
	Err error
}

// Follower reads a topic from its newest records on.
type Follower struct {
	topic Topic
	clock func() time.Duration
	wait  time.Duration
	// pause is the least time between the ends of two reads, by the moment.
	pause func() time.Duration
}

// NewFollower returns a follower whose reads wait for records and lie apart by
// a pause, so that the records of some milliseconds share a read.
func NewFollower(topic Topic, clock func() time.Duration, wait time.Duration, pause func() time.Duration) *Follower {
	return &Follower{topic: topic, clock: clock, wait: wait, pause: pause}
}

// Run delivers updates until ctx ends.
func (f *Follower) Run(ctx context.Context, deliver func(Update)) {
	var next uint64
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
			deliver(Update{Err: err})
			cranpause.For(ctx, backoff)
			backoff = min(2*backoff, followPauseMax)
			continue
		}
		backoff = followPause
		loaded, next = true, update.Next
		deliver(update)
		if len(update.Records) > 0 {
			cranpause.For(ctx, f.pause())
		}
	}
}

func (f *Follower) read(ctx context.Context, next uint64, loaded bool) (Update, error) {
	sent := f.clock()
	if !loaded {
		records, end, err := Load(ctx, f.topic)
		return Update{Reset: true, Records: records, Next: end, End: end, Sent: sent}, err
	}
	limited, cancel := context.WithTimeout(ctx, f.wait+readSlack)
	defer cancel()
	batch, err := f.topic.Read(limited, next, f.wait)
	return Update{Records: batch.Records, Next: batch.Next, End: batch.End, Sent: sent}, err
}
