package cranstore

import (
	"context"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// pageResponseTime bounds the time until the response to the request of a page begins.
	// The store looks up to 500 keys up for it.
	pageResponseTime = 4 * time.Second
	// pageAttempts is how often Load requests a page before it fails.
	pageAttempts = 3
)

// Load returns the newest record of each key, and the offset from which reads
// continue without a gap.
func Load(ctx context.Context, t Topic) ([]Record, uint64, error) {
	start := time.Now()
	l := loader{topic: t}
	for failures := 0; !l.done; {
		if _, err := l.loadPage(ctx, func() time.Duration { return time.Since(start) }); err != nil {
			if failures++; failures == pageAttempts || ctx.Err() != nil {
				return nil, 0, err
			}
			continue
		}
		failures = 0
	}
	return l.records, l.end, nil
}

// loader collects the newest record of each key, page by page. After a page that failed
// it continues with that page, however long ago the earlier ones were loaded: reads from
// end on return every change made since.
type loader struct {
	topic   Topic
	records []Record
	// after is the last key that was loaded. delivered is true once records of earlier pages
	// were passed on.
	after     string
	delivered bool
	// end is the offset at which the topic ended when the first page was read. It is
	// valid once started is true.
	end           uint64
	started, done bool
	// sent is when the first page was requested.
	sent time.Duration
}

// loadPage requests the next page.
func (l *loader) loadPage(ctx context.Context, clock func() time.Duration) (Transfer, error) {
	watched, w := newWatch(ctx, clock, pageResponseTime)
	page, err := l.topic.Newest(watched, l.after, w.received)
	err = failure(watched, err)
	transfer := w.stop()
	if err != nil {
		return transfer, err
	}
	if !l.started {
		l.started, l.end, l.sent = true, page.End, w.sent
	}
	l.add(page)
	return transfer, nil
}

// maxKeyBytes is the maximum size of a key, of which the store keeps the size in one byte.
const maxKeyBytes = 255

// add adds the records of a page. A store that returns keys as text replaces bytes that aren't, so
// the last key of a page may come before the real one, and the next page may repeat records. After
// a page of nothing else, add skips all keys with such a byte in the same place.
func (l *loader) add(page Page) {
	before := l.after
	for _, r := range page.Records {
		if r.Key > before {
			l.records = append(l.records, r)
			l.after = max(l.after, r.Key)
		}
	}
	if l.after == before {
		text, _, replaced := strings.Cut(before, string(utf8.RuneError))
		if replaced {
			l.after = text + strings.Repeat("\xff", max(maxKeyBytes-len(text), 0))
		}
	}
	l.done = !page.More || l.after == before
}
