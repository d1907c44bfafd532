package cranstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// textTopic returns keys as text, so that a byte that isn't text arrives as the replacement
// character.
type textTopic struct {
	slowTopic
	keys     []string
	pageSize int
	pages    int
}

func (s *textTopic) Newest(_ context.Context, after string, _ func(int)) (Page, error) {
	const maxPages = 100
	if s.pages++; s.pages > maxPages {
		return Page{}, errors.New("too many pages")
	}
	page := Page{End: 7}
	for _, k := range s.keys {
		switch {
		case k <= after:
		case len(page.Records) == s.pageSize:
			page.More = true
		default:
			page.Records = append(page.Records, Record{Key: strings.ToValidUTF8(k, "\ufffd"), Value: []byte("v"), Offset: 1})
		}
	}
	return page, nil
}

// TestKeysThatAreNoTextEndNoLoad guards against a page that is requested again and again, since
// its last key as text comes before the real one.
func TestKeysThatAreNoTextEndNoLoad(t *testing.T) {
	s := &textTopic{keys: []string{"a", "b"}}
	for i := range 9 {
		s.keys = append(s.keys, fmt.Sprintf("b\xff%d", i))
	}
	s.keys = append(s.keys, "b\xff\xff", "c", "d", "\x80", "\xff", "\xff\xff")
	for s.pageSize = 1; s.pageSize <= len(s.keys); s.pageSize++ {
		s.pages = 0
		records, end, err := Load(t.Context(), s)
		require.NoError(t, err, "%d records a page", s.pageSize)
		require.EqualValues(t, 7, end)
		var sound []string
		for _, r := range records {
			if !strings.Contains(r.Key, "\ufffd") {
				sound = append(sound, r.Key)
			}
		}
		require.Equal(t, []string{"a", "b", "c", "d"}, sound, "%d records a page", s.pageSize)
	}
}
