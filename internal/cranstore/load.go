package cranstore

import (
	"context"
	"time"
)

const (
	// pageTimeout bounds the read of one page. A page has up to 1 MB, which takes
	// about a second over the slowest supported link of 10 Mbit/s.
	pageTimeout = 4 * time.Second
	// pageAttempts is how often a page is requested before the load fails.
	pageAttempts = 3
)

// Load returns the newest record of each key, and the offset from which reads
// continue without a gap. It limits the time of each page but not of the whole
// load, since the number of pages depends on the number of keys.
func Load(ctx context.Context, t Topic) ([]Record, uint64, error) {
	return load(ctx, t, nil)
}

func load(ctx context.Context, t Topic, received func(bytes int)) ([]Record, uint64, error) {
	first, err := loadPage(ctx, t, "", received)
	if err != nil {
		return nil, 0, err
	}
	records := first.Records
	for page := first; page.More && len(page.Records) > 0; {
		if page, err = loadPage(ctx, t, page.Records[len(page.Records)-1].Key, received); err != nil {
			return nil, 0, err
		}
		records = append(records, page.Records...)
	}
	return records, first.End, nil
}

// loadPage reads the page of the keys after a key. It retries a failed read itself,
// since a new load would read the earlier pages again.
func loadPage(ctx context.Context, t Topic, after string, received func(bytes int)) (page Page, err error) {
	for attempt := 0; attempt < pageAttempts && ctx.Err() == nil; attempt++ {
		limited, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err = t.Newest(limited, after, received)
		cancel()
		if err == nil {
			return page, nil
		}
	}
	if err == nil {
		err = ctx.Err()
	}
	return page, err
}
