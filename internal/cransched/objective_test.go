package cransched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestObjectiveLeavesOutOrdersReportsAndDelivery guards against a soft deadline that is later than the caller's.
func TestObjectiveLeavesOutOrdersReportsAndDelivery(t *testing.T) {
	config := &Config{Queues: map[string]*Queue{"q": {Name: "q", Pool: "p", Stretch: 2, LatencyTarget: 600 * time.Millisecond}}}
	s := New(1, simTiming, config, cranjob.NewReplica(), Clock{Steady: time.Hour, UnixMs: 5000}, Predecessor{})
	submission := newBatchJob("a", 1)
	submission.Queue, submission.ReceivedMs = "q", 5000
	s.AddJob(submission)
	j := s.jobs["a"]
	first, second := j.stages[0], j.stages[1]
	report, store := reportTime.Milliseconds(), storeTime.Milliseconds()
	allowance := (600*time.Millisecond - callerDelay).Milliseconds()

	j.updateEstimates(nil, s.clock.Steady)
	require.Equal(t, 5000+2*(800-report+600-report)+allowance, s.softDeadlineMs(j, 0))
	require.Equal(t, s.softDeadlineMs(j, 0)-5000-(800+store+600+store), s.slackMs(j, first))

	j.recordDuration(first.tasks[0], 1100)
	j.setStatus(first.tasks[0], cranjob.Done)
	j.updateEstimates(nil, s.clock.Steady)
	require.Equal(t, 5000+2*(1100-report+600-report)+allowance, s.softDeadlineMs(j, 0))
	require.Equal(t, s.softDeadlineMs(j, 0)-5000-(600+store), s.slackMs(j, second))
}
