package cranstore

import (
	"context"
	"time"
)

const (
	// pageTimeout bounds the read of one page: up to 1 MB, which takes a second
	// over the slowest link of 10 Mbit/s.
	pageTimeout = 4 * time.Second
	// pageTries is how often a page is asked for until the reading is given up.
	pageTries = 3
)

// Load returns the newest record of each key, and the offset from which reads
// go on without a gap. It bounds the time of each page, not of all: how many
// there are depends on the number of keys.
func Load(ctx context.Context, t Topic) ([]Record, uint64, error) {
	first, err := loadPage(ctx, t, "")
	if err != nil {
		return nil, 0, err
	}
	records := first.Records
	for page := first; page.More && len(page.Records) > 0; {
		if page, err = loadPage(ctx, t, page.Records[len(page.Records)-1].Key); err != nil {
			return nil, 0, err
		}
		records = append(records, page.Records...)
	}
	return records, first.End, nil
}

// loadPage repeats a page that failed: beginning again would read the earlier
// pages once more.
func loadPage(ctx context.Context, t Topic, after string) (page Page, err error) {
	for tries := 0; tries < pageTries && ctx.Err() == nil; tries++ {
		limited, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err = t.Newest(limited, after)
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
