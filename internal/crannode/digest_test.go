package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

// TestLoadInPagesLeavesDigestIncomplete guards against an answer that there is no such job, from a
// process that hasn't read the records after a load: its pages may have missed a merged segment.
func TestLoadInPagesLeavesDigestIncomplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		renewal := crandigest.Renewal{Epoch: 1, Number: 1, Through: 0}.Record(0)
		n.control.applyDigest(cranstore.Update{Reset: true, Records: []cranstore.Record{layoutRecord(), renewal}, Next: 10, End: 10})
		require.False(t, n.digestComplete, "after a load of one page")
		n.control.applyDigest(cranstore.Update{Reset: true, Partial: true, Records: []cranstore.Record{layoutRecord()}, Next: 10, End: 10})
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{renewal}, Next: 10, End: 10})
		require.False(t, n.digestComplete, "after the last page of a load")
		n.control.applyDigest(cranstore.Update{Next: 10, End: 10})
		require.True(t, n.digestComplete, "after the records that follow a load")
	})
}
