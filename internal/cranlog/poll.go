package cranlog

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// run reads until the tailer is closed or its next record has expired.
func (t *Tailer) run(ctx context.Context) {
	defer close(t.done)
	failures := 0
	wait := time.Duration(0)
	for ctx.Err() == nil {
		from := t.Next()
		err := t.poll(ctx, from, wait)
		wait = t.nextWait(err)
		if isExpired(err) && t.expire(from) {
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

// nextWait returns how long the next read waits for records. The first read,
// and the first after a failure, don't wait, so that the owner learns at once
// that the log answers and where it ends.
func (t *Tailer) nextWait(err error) time.Duration {
	if err != nil {
		return 0
	}
	return t.settings.pollWait
}

// poll reads once from the log and delivers what it got.
func (t *Tailer) poll(ctx context.Context, from uint64, wait time.Duration) error {
	sent := time.Now()
	batch, err := t.read(ctx, from, wait)
	if err != nil {
		t.countReadFailure(ctx, err)
		return err
	}
	err = t.check(batch, from)
	if err != nil {
		return err
	}
	t.accept(batch, sent)
	if wait == t.settings.pollWait {
		t.pace(ctx, batch, sent)
	}
	return nil
}

func (t *Tailer) read(ctx context.Context, from uint64, wait time.Duration) (cranplatform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+t.settings.attemptTimeout)
	defer cancel()
	return t.log.Read(ctx, t.stream, from, t.settings.readRecords, int(wait.Milliseconds()))
}

func (t *Tailer) accept(batch cranplatform.Batch, sent time.Time) {
	t.delivery.Lock()
	defer t.delivery.Unlock()
	t.touch(batch, sent)
	t.deliver(batch.Records)
}

// expire ends the tailer, unless peers relayed the record meanwhile.
func (t *Tailer) expire(from uint64) bool {
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

// pace spares a log that answers an empty read at once instead of waiting,
// and lets records gather between two reads. A full read is followed at once.
func (t *Tailer) pace(ctx context.Context, batch cranplatform.Batch, sent time.Time) {
	short := t.settings.backoff.base
	if len(batch.Records) == 0 && time.Since(sent) < short {
		cranpause.Sleep(ctx, short)
		return
	}
	if left := t.settings.readInterval - time.Since(sent); left > 0 && len(batch.Records) < t.settings.readRecords {
		cranpause.Sleep(ctx, left)
	}
}

// countReadFailure counts failures other than expiry and the tailer's close.
func (t *Tailer) countReadFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || isExpired(err) {
		return
	}
	t.settings.count(failureReason(err, ReasonReadFailed, ReasonReadTimeout))
}

// check refuses an answer that doesn't fit the question: what came in its
// place can't be trusted to be without gaps.
func (t *Tailer) check(batch cranplatform.Batch, from uint64) error {
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
			"a read of %s from offset %d answered with offset %d", t.stream, from, record.Offset)
	}
	return nil
}

// touch notes what the log said of itself. LastContact is when the read was
// sent, so that it never claims to be fresher than the answer.
func (t *Tailer) touch(batch cranplatform.Batch, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.position.lastContact = sent
	t.position.end = max(t.position.end, batch.Next)
	t.position.oldest = max(t.position.oldest, batch.Oldest)
	t.position.platformMs = max(t.position.platformMs, batch.TimeMs)
}
