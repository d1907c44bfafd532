package cranstore

import (
	"context"
	"strings"
	"sync"
	"time"
	"unicode/utf8"
)

const (
	// pageResponseTime bounds the time until the response to the request of a page begins.
	// The store looks up to 500 keys up for it.
	pageResponseTime = 4 * time.Second
	// pageRepeatInterval is how long the response to the request of a page may take to begin before
	// the page is requested once more: the store may have lost the request.
	pageRepeatInterval = 1200 * time.Millisecond
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
	r := l.requestPage(ctx, clock)
	if r.err != nil {
		return r.transfer, r.err
	}
	if !l.started {
		l.started, l.end, l.sent = true, r.page.End, r.sent
	}
	l.add(r.page)
	return r.transfer, nil
}

// pageResponse is the outcome of one request of a page, which was sent at sent.
type pageResponse struct {
	request  int
	page     Page
	sent     time.Duration
	transfer Transfer
	err      error
}

// requestPage requests the next page, and once more after each pageRepeatInterval until a response begins or a
// request fails. The first response that begins ends the other requests.
func (l *loader) requestPage(ctx context.Context, clock func() time.Duration) pageResponse {
	const maxRequests = int(pageResponseTime/pageRepeatInterval) + 1
	begun, responses := make(chan int, maxRequests), make(chan pageResponse, maxRequests)
	var cancels []context.CancelFunc
	cancelExcept := func(request int) {
		for i, cancel := range cancels {
			if i != request {
				cancel()
			}
		}
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancelExcept(-1)
	send := func() {
		request := len(cancels)
		requestCtx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		group.Go(func() {
			responses <- l.sendRequest(requestCtx, clock, request, func() { begun <- request })
		})
	}
	send()
	repeat := time.NewTicker(pageRepeatInterval)
	defer repeat.Stop()
	for chosen := -1; ; {
		select {
		case <-repeat.C:
			if chosen < 0 && len(cancels) < maxRequests {
				send()
			}
		case request := <-begun:
			if chosen < 0 {
				chosen = request
				cancelExcept(chosen)
			}
		case r := <-responses:
			if chosen < 0 || r.request == chosen {
				return r
			}
		}
	}
}

// sendRequest sends one request of the next page, and calls begun when its response begins.
func (l *loader) sendRequest(ctx context.Context, clock func() time.Duration, request int, begun func()) pageResponse {
	watched, w := newWatch(ctx, clock, pageResponseTime)
	var once sync.Once
	page, err := l.topic.Newest(watched, l.after, func(bytes int) {
		once.Do(begun)
		w.received(bytes)
	})
	err = failure(watched, err)
	return pageResponse{request: request, page: page, sent: w.sent, transfer: w.stop(), err: err}
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
