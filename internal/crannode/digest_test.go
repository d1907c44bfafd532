package crannode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandigest"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
	"github.com/cranberrypick/cranberrypick/internal/cranmemory"
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

// TestPendingReadsSubmissionsOfLostOwner guards against a count without the jobs that the owner of
// a shard hasn't published, because its last record, from long before, was read only now.
func TestPendingReadsSubmissionsOfLostOwner(t *testing.T) {
	renewal := crandigest.Renewal{Epoch: 1, Number: 1, Through: 0}.Record(0)
	reads := map[string][]cranstore.Update{
		"load":              {{Reset: true, Records: []cranstore.Record{layoutRecord(), renewal}}, {}},
		"load in pages":     {{Reset: true, Partial: true, Records: []cranstore.Record{layoutRecord()}}, {Records: []cranstore.Record{renewal}}, {}},
		"read after load":   {{Reset: true, Records: []cranstore.Record{layoutRecord()}}, {Records: []cranstore.Record{renewal}}},
		"read after outage": {{Records: []cranstore.Record{layoutRecord()}}, {Records: []cranstore.Record{renewal}}},
	}
	for name, updates := range reads {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Hour
				n := newLoneNode(t, "a-1", &now)
				job := fleetJob(1)
				n.topics.Shard(0).Submissions.(*cranmemory.Topic).Put(cranjob.SubmissionKey(job.ID), cranjob.Encode(*job))
				for _, u := range updates {
					if len(u.Records) > 0 {
						now += 10 * time.Second
					}
					u.Sent, u.Next, u.End = now, 10, 10
					n.control.applyDigest(u)
				}
				count, err := n.Pending(t.Context(), "q")
				require.NoError(t, err)
				require.Equal(t, 1, count)
			})
		})
	}
}

// TestPendingTrustsPublishingOwner guards against a read of the submissions at each request, also
// while the owner of the shard publishes all jobs.
func TestPendingTrustsPublishingOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{layoutRecord()}, Sent: now})
		now += time.Second
		n.control.applyDigest(cranstore.Update{Records: []cranstore.Record{crandigest.Renewal{Epoch: 1, Number: 1}.Record(0)}, Sent: now})
		_, unpublished, err := n.publishedPending("q")
		require.NoError(t, err)
		require.Empty(t, unpublished)
	})
}

// TestLoadDoesNotPutOffTakeover guards against an owner that counts as alive because a load has
// returned its last records again. A renewal that is new says that the owner was alive.
func TestLoadDoesNotPutOffTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Hour
		n := newLoneNode(t, "a-1", &now)
		segment := crandigest.Segments(0, 1, 1, []crandigest.JobState{{ID: fleetJob(1).ID, State: cranjob.Completed}})[0]
		records := func(renewals uint64) []cranstore.Record {
			return []cranstore.Record{layoutRecord(), claimRecord(1, "b", false), crandigest.Renewal{Epoch: 1, Number: renewals}.Record(0), segment}
		}
		n.control.applyDigest(cranstore.Update{Records: records(5)})
		readAt := now
		now += time.Second
		n.control.applyDigest(cranstore.Update{Reset: true, Records: records(5)})
		require.Equal(t, readAt, n.shards[0].claimReadAt)
		now += time.Second
		n.control.applyDigest(cranstore.Update{Reset: true, Records: records(6)})
		require.Equal(t, now, n.shards[0].claimReadAt)
	})
}
