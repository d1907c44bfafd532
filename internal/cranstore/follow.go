package cranstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranwindow"
)

const (
	// responseSlack is added to the wait of a read for the time until its response
	// begins. It allows for the network and a slow store.
	responseSlack = 1200 * time.Millisecond
	// followPause is the pause after the first failed read. It doubles with each
	// further failure up to followPauseMax.
	followPause    = 50 * time.Millisecond
	followPauseMax = 400 * time.Millisecond
	// minReadBytes, startReadBytes and maxReadBytes bound the size of one read and give
	// the size of the first one. minReadBytes takes 13 ms on a link of 10 Mbit/s.
	minReadBytes   = 16 << 10
	startReadBytes = 128 << 10
	maxReadBytes   = 1 << 20
	// maxReceiveTime is the time above which receiving a response counts as slow, so
	// that the next read is smaller.
	maxReceiveTime = 300 * time.Millisecond
)

// Update is the outcome of one read of a topic.
type Update struct {
	// Reset is true if Records are the newest record of every key. Keys without
	// a record in them no longer exist.
	Reset bool
	// Partial is true if further pages of the newest records follow. The first of them has
	// Reset set.
	Partial bool
	Records []Record
	// Next is the offset to read from next. End was the offset of the topic's
	// next append at the time of the read.
	Next, End uint64
	// Sent is the follower's clock when the read was sent. The update includes
	// every record that was stored before, if Next is at End.
	Sent time.Duration
	// Waited is how long the store can have waited for a record in vain.
	Waited time.Duration
	// Transfer measures the response to the read.
	Transfer Transfer
	// Err is the error of a failed read. Records is empty then, Next is the offset of
	// the failed read, and End is the newest one known.
	Err error
}

// CurrentAt returns the time up to which every stored record was read. It reports false
// if records are left unread.
func (u Update) CurrentAt() (time.Duration, bool) {
	return u.Sent + u.Waited, u.Err == nil && !u.Partial && u.Next >= u.End
}

// Follower loads the newest record of each key of a topic and then reads the
// records that follow.
//
// A read is bounded by the time without progress, not by its duration, and records that
// arrived before a read failed are delivered. The size of reads adapts to the link.
type Follower struct {
	topic Topic
	clock func() time.Duration
	wait  time.Duration
	pause time.Duration
	// sizes is the size of the newest record of each key, and liveBytes their sum; nil
	// if every record is delivered.
	sizes     map[string]int
	liveBytes int

	window *cranwindow.Window
	// slow is the newest read that took over maxReceiveTime to receive; zero if the one after it didn't.
	slow slowRead
	// loading is the load in progress; nil once the topic has been loaded. pages is true if
	// its pages are delivered one by one.
	loading *loader
	pages   bool
	// next is the offset of the next read, and end the newest known end.
	next, end uint64
	// immediate is true if the next read doesn't wait, because the newest one has failed or
	// was a load.
	immediate bool

	// mu guards the fields below, which Poke uses.
	mu sync.Mutex
	// poked is true if the next read doesn't wait, because of Poke.
	poked bool
	// reading is the watch of the read in progress; nil if there is none.
	reading *watch
}

// FollowerOption configures a Follower.
type FollowerOption func(*Follower)

// WithWait sets how long a read waits for a record; without it reads don't wait.
func WithWait(wait time.Duration) FollowerOption { return func(f *Follower) { f.wait = wait } }

// WithPause sets the pause after a read that has returned all records, so that the next read
// returns the records of several milliseconds together.
func WithPause(pause time.Duration) FollowerOption {
	return func(f *Follower) { f.pause = pause }
}

// WithNewestOnly makes the follower deliver only the newest record of each key. When it is
// far behind, it loads the newest records instead of reading those that they replace.
func WithNewestOnly() FollowerOption {
	return func(f *Follower) { f.sizes = map[string]int{} }
}

// WithPages makes the follower deliver the pages of a load as they arrive.
func WithPages() FollowerOption { return func(f *Follower) { f.pages = true } }

// NewFollower returns a follower. The times in updates are taken from clock.
func NewFollower(topic Topic, clock func() time.Duration, options ...FollowerOption) *Follower {
	f := &Follower{
		topic: topic, clock: clock,
		window: cranwindow.New(startReadBytes, minReadBytes, maxReadBytes), loading: &loader{topic: topic},
	}
	for _, set := range options {
		set(f)
	}
	return f
}

// Poke ends the wait of the read in progress, and reads at once. It is for a caller who knows
// that a record has been stored: the store answers a waiting read late if the record was
// stored just as the read arrived. Poke is safe for concurrent use.
func (f *Follower) Poke() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poked = true
	if f.reading != nil {
		f.reading.interrupt()
	}
}

// Run reads the topic and passes each update to deliver until ctx ends.
func (f *Follower) Run(ctx context.Context, deliver func(Update)) {
	backoff := followPause
	for ctx.Err() == nil {
		loading := f.loading != nil
		update, complete := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.immediate = update.Err != nil || loading
		switch {
		case errors.Is(update.Err, ErrExpired):
			f.loading = &loader{topic: f.topic}
		case errors.Is(update.Err, errInterrupted):
		case update.Err != nil:
			update.Next, update.End = f.next, max(f.end, f.next)
			deliver(update)
			cranpause.Sleep(ctx, backoff)
			backoff = min(2*backoff, followPauseMax)
		case complete:
			backoff = followPause
			f.accept(&update)
			deliver(update)
			cranpause.Sleep(ctx, f.pauseAfter(update))
		case update.Partial:
			deliver(update)
		}
	}
}

// accept continues after an update. If only the newest records are wanted, it drops the
// others from the update, and starts a load if that is cheaper than reading on.
func (f *Follower) accept(u *Update) {
	f.next, f.end = u.Next, u.End
	if f.sizes == nil {
		return
	}
	f.recordSizes(*u)
	if f.shouldReload(*u) {
		f.loading = &loader{topic: f.topic}
	}
	u.Records = newestOnly(u.Records)
}

// pauseAfter returns the pause after an update. A follower that is behind reads on at once,
// unless the next record didn't fit into the read, which then grows.
func (f *Follower) pauseAfter(u Update) time.Duration {
	switch behind := u.Next < u.End; {
	case behind && len(u.Records) == 0:
		return followPause
	case behind || len(u.Records) == 0:
		return 0
	}
	return f.pause
}

// step reads once, or loads one page. It reports false if the update is not complete,
// because further pages have to be loaded.
func (f *Follower) step(ctx context.Context) (Update, bool) {
	if f.loading == nil {
		return f.read(ctx), true
	}
	l := f.loading
	transfer, err := l.loadPage(ctx, f.clock)
	if err != nil || !l.done && !f.pages {
		return Update{Transfer: transfer, Err: err}, false
	}
	u := Update{Reset: !l.delivered, Partial: !l.done, Records: l.records, Next: l.end, End: l.end, Sent: l.sent, Transfer: transfer}
	l.records, l.delivered = nil, true
	if l.done {
		f.loading = nil
	}
	return u, l.done
}

// read reads the next records. A read after a failed one doesn't wait, so that the
// follower soon knows whether it is behind.
func (f *Follower) read(ctx context.Context) Update {
	watched, w, wait := f.beginRead(ctx)
	batch, err := f.topic.Read(watched, f.next, ReadOptions{Wait: wait, MaxBytes: f.window.Size(), Received: w.received})
	err = failure(watched, err)
	transfer := f.endRead(w)
	if errors.Is(err, errInterrupted) {
		return Update{Err: err}
	}
	f.adaptWindow(batch, transfer, err)
	if err != nil && len(batch.Records) == 0 {
		return Update{Transfer: transfer, Err: err}
	}
	u := Update{Records: batch.Records, Next: batch.Next, End: batch.End, Sent: w.sent, Transfer: transfer}
	if len(batch.Records) == 0 {
		// The store may have answered before the end of the wait.
		u.Waited = min(wait, transfer.Elapsed)
	}
	return u
}

// beginRead starts the watch of a read and returns how long the read waits.
func (f *Follower) beginRead(ctx context.Context) (context.Context, *watch, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := f.wait
	if f.immediate || f.poked {
		wait = 0
	}
	watched, w := newWatch(ctx, f.clock, wait+responseSlack)
	f.poked, f.reading = false, w
	return watched, w, wait
}

// endRead ends the watch of a read.
func (f *Follower) endRead(w *watch) Transfer {
	f.mu.Lock()
	f.reading = nil
	f.mu.Unlock()
	return w.stop()
}

// adaptWindow sets the size of the next read according to how the present one went.
func (f *Follower) adaptWindow(batch Batch, transfer Transfer, err error) {
	receiving := transfer.Elapsed - transfer.FirstByte
	before := f.slow
	f.slow = slowRead{}
	switch {
	case err != nil:
		f.window.Shrink()
	case receiving > maxReceiveTime:
		f.slow = slowRead{transfer.Bytes, receiving}
		// At the smallest size, only a larger read shows whether the size matters.
		isProbe := f.window.Size() == minReadBytes && batch.Next < batch.End
		if isProbe || f.slow.isDelayed(before) {
			f.window.Grow()
		} else {
			f.window.Shrink()
		}
	case batch.Next < batch.End && 2*receiving <= maxReceiveTime && transfer.Bytes <= f.window.Size():
		f.window.Grow()
	}
}

// slowRead is the size of a response and how long it took to receive.
type slowRead struct {
	bytes int
	took  time.Duration
}

// isDelayed reports whether most of the time doesn't depend on the size, judged by an earlier read of
// another size: the process waits for the processor rather than for the link. Smaller reads would only
// make it fall behind.
func (r slowRead) isDelayed(earlier slowRead) bool {
	difference := r.bytes - earlier.bytes
	if earlier.bytes == 0 || 4*max(difference, -difference) < r.bytes {
		return false
	}
	perByte := float64(r.took-earlier.took) / float64(difference)
	return 2*perByte*float64(r.bytes) < float64(r.took)
}

// recordSizes keeps track of the size of the newest records.
func (f *Follower) recordSizes(u Update) {
	if u.Reset {
		clear(f.sizes)
		f.liveBytes = 0
	}
	for _, r := range u.Records {
		f.liveBytes += len(r.Value) - f.sizes[r.Key]
		f.sizes[r.Key] = len(r.Value)
		if len(r.Value) == 0 {
			delete(f.sizes, r.Key)
		}
	}
}

// shouldReload reports whether loading the newest records takes fewer bytes than reading the
// remaining ones, if these are as large as those in the update.
func (f *Follower) shouldReload(u Update) bool {
	unread := u.End - u.Next
	if unread == 0 || len(u.Records) == 0 {
		return false
	}
	read := 0
	for _, r := range u.Records {
		read += len(r.Value)
	}
	// The store returns the newest records in base64.
	loadBytes := f.liveBytes / 3 * 4
	return read/len(u.Records)*int(unread) > loadBytes
}

// newestOnly returns the records that no later one replaces, in their order.
func newestOnly(records []Record) []Record {
	newest := make(map[string]uint64, len(records))
	for _, r := range records {
		newest[r.Key] = r.Offset
	}
	kept := make([]Record, 0, len(newest))
	for _, r := range records {
		if newest[r.Key] == r.Offset {
			kept = append(kept, r)
		}
	}
	return kept
}
