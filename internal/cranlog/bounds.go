package cranlog

import (
	"context"
	"math"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// beyondEnd is an offset that no stream reaches. A read from there returns the
// bounds of the stream without any records.
const beyondEnd = math.MaxInt64

// Bounds holds the range of offsets that a stream keeps.
type Bounds struct {
	oldest uint64
	next   uint64
	timeMs int64
}

// Oldest returns the lowest offset kept, or Next if no record is kept.
func (b Bounds) Oldest() uint64 { return b.oldest }

// Next returns the offset that the next append will get.
func (b Bounds) Next() uint64 { return b.next }

// TimeMs returns the platform's clock when the bounds were read, in
// milliseconds since the Unix epoch.
func (b Bounds) TimeMs() int64 { return b.timeMs }

// ReadBounds asks the log which records of a stream are kept. It returns errors
// of the log unchanged.
func ReadBounds(ctx context.Context, log cranplatform.Log, stream string) (Bounds, error) {
	batch, err := log.Read(ctx, stream, beyondEnd, 1, 0)
	if err != nil {
		return Bounds{}, err
	}
	return Bounds{oldest: batch.Oldest, next: batch.Next, timeMs: batch.TimeMs}, nil
}
