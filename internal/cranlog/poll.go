package cranlog

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// quickReadFraction defines which reads count as quick: those that take less than this
// fraction of the time that a read may last.
const quickReadFraction = 4

// run reads from the log until the tailer is closed or its next record has
// expired.
func (t *Tailer) run(ctx context.Context) {
	defer close(t.done)
	failures := 0
	wait := time.Duration(0)
	for ctx.Err() == nil {
		from := t.Next()
		err := t.poll(ctx, from, wait)
		wait = t.nextWait(err)
		if isExpired(err) && t.endExpired(from) {
			return
		}
		if err == nil || t.Next() > from {
			failures = 0
			continue
		}
		failures++
		cranpause.Sleep(ctx, t.settings.backoff.Delay(failures))
	}
}

// nextWait returns how long the next read waits for records. The first read and
// the first one after a failure don't wait, so that the owner learns immediately
// that the log responds and where it ends.
func (t *Tailer) nextWait(err error) time.Duration {
	if err != nil {
		return 0
	}
	return t.settings.pollWait
}

// poll reads once from the log and delivers the records.
func (t *Tailer) poll(ctx context.Context, from uint64, wait time.Duration) error {
	sent := time.Now()
	batch, err := t.read(ctx, from, wait)
	if err != nil {
		t.countReadFailure(ctx, err)
		// The read may have failed because of its size.
		t.window.Shrink()
		return err
	}
	requested := t.window.Size()
	if len(batch.Records) >= requested && time.Since(sent) < t.settings.attemptTimeout/quickReadFraction {
		t.window.Grow()
	}
	err = t.checkBatch(batch, from)
	if err != nil {
		return err
	}
	t.deliverBatch(batch, sent)
	if wait == t.settings.pollWait {
		t.paceReads(ctx, batch, requested, sent)
	}
	return nil
}

func (t *Tailer) read(ctx context.Context, from uint64, wait time.Duration) (cranplatform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+t.settings.attemptTimeout)
	defer cancel()
	return t.log.Read(ctx, t.stream, from, t.window.Size(), int(wait.Milliseconds()))
}

func (t *Tailer) deliverBatch(batch cranplatform.Batch, sent time.Time) {
	t.delivery.Lock()
	defer t.delivery.Unlock()
	t.recordContact(batch, sent)
	t.deliver(batch.Records)
}

// endExpired ends the tailer with a fault because the log no longer keeps the
// record at offset from, unless a peer has relayed that record in the meantime. It
// reports whether it ended the tailer.
func (t *Tailer) endExpired(from uint64) bool {
	t.delivery.Lock()
	defer t.delivery.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.position.next > from {
		return false
	}
	t.settings.count(ReasonExpired)
	t.err = cranfault.New(cranfault.RecordsExpired,
		"load the latest snapshot and tail from its offset",
		"the log no longer keeps offset %d of %s", from, t.stream)
	return true
}

func isExpired(err error) bool {
	return errors.Is(err, cranfault.MatchKind(cranfault.RecordsExpired))
}

// paceReads waits before the next read. It limits the load on a log that responds
// to an empty read immediately instead of waiting, and it enforces the read interval,
// so that records accumulate between two reads. It doesn't wait after a full read.
func (t *Tailer) paceReads(ctx context.Context, batch cranplatform.Batch, requested int, sent time.Time) {
	minInterval := t.settings.backoff.base
	if len(batch.Records) == 0 && time.Since(sent) < minInterval {
		cranpause.Sleep(ctx, minInterval)
		return
	}
	if left := t.settings.readInterval - time.Since(sent); left > 0 && len(batch.Records) < requested {
		cranpause.Sleep(ctx, left)
	}
}

// countReadFailure counts a failed read, unless the records have expired or the
// tailer was closed.
func (t *Tailer) countReadFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || isExpired(err) {
		return
	}
	t.settings.count(failureReason(err, ReasonReadFailed, ReasonReadTimeout))
}

// checkBatch rejects a batch that doesn't match the request, since its records
// can't be relied on to continue the stream without gaps.
func (t *Tailer) checkBatch(batch cranplatform.Batch, from uint64) error {
	if batch.Next < from {
		t.settings.count(ReasonLogBehind)
		return cranfault.New(cranfault.Conflict, "ask the platform's operators whether the log lost records",
			"%s ends at offset %d, but records up to %d were read", t.stream, batch.Next, from)
	}
	for i, record := range batch.Records {
		if record.Offset == from+uint64(i) {
			continue
		}
		t.settings.count(ReasonReadGap)
		return cranfault.New(cranfault.Conflict, "the read is repeated",
			"a read of %s from offset %d returned offset %d", t.stream, from, record.Offset)
	}
	return nil
}

// recordContact updates the position from a batch of the log. The last contact is
// the time at which the read was sent, so that it is never later than the state of
// the log that the batch shows.
func (t *Tailer) recordContact(batch cranplatform.Batch, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.position.lastContact = sent
	t.position.end = max(t.position.end, batch.Next)
	t.position.oldest = max(t.position.oldest, batch.Oldest)
	t.position.platformMs = max(t.position.platformMs, batch.TimeMs)
}
