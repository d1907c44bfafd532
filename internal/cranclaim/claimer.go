package cranclaim

import (
	"context"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranlog"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// Claimer claims keys of one shard. It holds the shard's index, which it keeps
// up by reading the shard's stream.
type Claimer struct {
	log      cranplatform.Log
	stream   string
	settings settings
	writer   *cranlog.Writer
	cancel   context.CancelFunc
	// done is closed when the keeper's goroutines have ended.
	done chan struct{}
	// wake tells the goroutine that follows up claims of work in owed.
	wake chan struct{}

	mu     sync.Mutex
	index  *Index
	tailer *cranlog.Tailer
	// readTo is the end of the stream when the tailer was started.
	readTo uint64
	// attempts is the number of claims made so far.
	attempts uint64
	// pending holds the claims that were not read back yet, also those whose
	// caller has left.
	pending map[uint64]*attempt
	// owed holds the records that still have to be submitted.
	owed   []record
	closed bool
}

// attempt is a claim that was not read back yet.
type attempt struct {
	key         Key
	fingerprint uint64
	// start is when the claim was made, before its append.
	start time.Time
	// answer takes the decision; it has room for one.
	answer chan Decision
	// abandoned is set when nobody waits for the answer and a grant has to
	// be released.
	abandoned bool
}

// NewClaimer starts the keeper of one stream. The incarnation is that of the
// process; it must never be used for a stream again. Close releases it.
func NewClaimer(log cranplatform.Log, stream, incarnation string, options ...Option) *Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	set := newSettings(options)
	k := &Claimer{
		log:      log,
		stream:   stream,
		settings: set,
		writer:   cranlog.NewWriter(log, stream, incarnation, set.log...),
		cancel:   cancel,
		done:     make(chan struct{}),
		wake:     make(chan struct{}, 1),
		pending:  map[uint64]*attempt{},
	}
	go k.run(ctx)
	return k
}

// Claim claims a key and waits until the claim was read back. The fingerprint
// is a hash of the request's content. A grant comes back only while it is
// usable.
//
// It refuses with a ClaimedError when the key is held, and otherwise with
// cranfault.LogUnavailable, NotReady, QueueFull or Cancelled. After these the
// claim will never be used: the request was not run, and if the claim comes to
// be granted it is released.
func (k *Claimer) Claim(ctx context.Context, key Key, fingerprint uint64) (*Grant, error) {
	a := &attempt{key: key, fingerprint: fingerprint, start: time.Now(), answer: make(chan Decision, 1)}
	err := k.begin(a)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(k.settings.bound)
	defer timer.Stop()
	select {
	case d := <-a.answer:
		return k.settle(a, d)
	case <-ctx.Done():
		return k.abandon(a, k.cancelled(key))
	case <-timer.C:
		return k.abandon(a, k.tooLate(key))
	case <-k.done:
		return k.abandon(a, k.closedFault())
	}
}

// Release records that the claimer has not run the request and never will, so
// that the key can be claimed anew. It returns at once; the record follows as
// soon as the log takes it. A grant that was released or reported already is
// left as it is.
func (k *Claimer) Release(g *Grant) { k.end(g, kindRelease) }

// ReportRan records that the request ran, for those who ask for the key later. It
// returns at once, and the record may get lost with this process.
func (k *Claimer) ReportRan(g *Grant) { k.end(g, kindDone) }

// Lookup returns the claim that holds a key, as far as the stream was read.
func (k *Claimer) Lookup(key Key) (Holder, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.index == nil {
		return Holder{}, false
	}
	return k.index.Lookup(key, k.platformMs())
}

// Ready returns nil if claims can be made, or the fault of kind
// cranfault.NotReady or cranfault.LogUnavailable that says why not.
func (k *Claimer) Ready() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, err := k.ready()
	return err
}

// Len returns the number of keys held in memory.
func (k *Claimer) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.index == nil {
		return 0
	}
	return k.index.Len()
}

// Flush waits until the log holds every record of the keeper, so that no
// release is lost with this process. Its errors are those of
// cranlog.Writer.Flush.
func (k *Claimer) Flush(ctx context.Context) error {
	for !k.paid() {
		err := k.owedPause(ctx)
		if err != nil {
			return cranfault.New(cranfault.Timeout, "give it more time, or let the keys stay held",
				"%s has records left that the log has not taken", k.stream)
		}
	}
	return k.writer.Flush(ctx)
}

// Close ends the keeper and waits for its goroutines. Records that the log
// has not taken are lost; keys whose release is lost stay held for the window.
func (k *Claimer) Close() error {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	<-k.done
	return k.writer.Close()
}

// begin checks whether a claim may be tried, and submits it.
func (k *Claimer) begin(a *attempt) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	reason, err := k.ready()
	if err != nil {
		k.settings.count(reason)
		return err
	}
	nowMs := k.platformMs()
	h, held := k.index.Lookup(a.key, nowMs)
	if held {
		return k.claimed(a, h)
	}
	if k.index.Len() >= k.settings.maxKeys {
		return k.refuse(k.indexFull())
	}
	number := k.attempts + 1
	r := record{Kind: kindClaim, Key: a.key, Attempt: number, Fingerprint: a.fingerprint, SentMs: nowMs}
	err = k.submit(r)
	if err != nil {
		k.settings.count(ReasonQueueFull)
		return err
	}
	k.attempts = number
	k.pending[number] = a
	return nil
}

// settle turns the decision about an own claim into the answer. A grant that
// comes too late to be used is released.
func (k *Claimer) settle(a *attempt, d Decision) (*Grant, error) {
	switch d.verdict {
	case VerdictGranted:
		g := newGrant(a.key, d.attempt, d.holder.offset, a.start, k.settings.bound)
		if g.Usable(time.Now()) {
			return g, nil
		}
		k.Release(g)
		return nil, k.refuse(k.tooLate(a.key))
	case VerdictLost:
		return nil, k.claimed(a, d.holder)
	}
	return nil, k.refuse(k.void(a.key, d.verdict))
}

// abandon gives up the wait for a claim, unless its answer is there.
func (k *Claimer) abandon(a *attempt, r refusal) (*Grant, error) {
	k.mu.Lock()
	a.abandoned = true
	k.mu.Unlock()
	select {
	case d := <-a.answer:
		return k.settle(a, d)
	default:
		return nil, k.refuse(r)
	}
}

// end ends a grant once and owes the record that says how.
func (k *Claimer) end(g *Grant, kind recordKind) {
	if g.ended.Swap(true) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.owe(record{Kind: kind, Key: g.key, Attempt: g.attempt})
}
