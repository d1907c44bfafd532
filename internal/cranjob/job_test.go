package cranjob

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTaskNameParsingAndOrder(t *testing.T) {
	name := TaskName{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 13}
	parsed, ok := ParseTaskName(name.String())
	require.True(t, ok)
	require.Equal(t, name, parsed)
	for _, text := range []string{"", "j", "j.0.0", "j.0.0.0.0", "j.0.-1.0", "j.0.x.0"} {
		_, ok := ParseTaskName(text)
		require.False(t, ok, text)
	}
	require.Zero(t, name.Compare(parsed))
	parsed.Index = 2
	require.Positive(t, name.Compare(parsed))
	parsed.Occurrence = 3
	require.Negative(t, name.Compare(parsed))
}

// TestEndKeepsRuns checks that a job of which only the final state is known elsewhere keeps the
// numbers of its runs, by which a late success of a replaced run is recognised.
func TestEndKeepsRuns(t *testing.T) {
	r := NewReplica()
	job := Job{ID: "a", Steps: []Step{{Count: 2}}}
	require.NoError(t, r.Store(SubmissionKey("a"), Encode(job)))
	require.NoError(t, r.Store(ProgressKey("a"), Encode(Progress{State: Running, Tasks: []Task{{Run: 3}, {Run: 1}}})))
	r.End("a", Completed, 5)
	r.End("a", Failed, 6)
	r.End("unknown", Failed, 6)
	e, found := r.Lookup("a")
	require.True(t, found)
	require.Equal(t, Completed, e.State())
	require.Equal(t, []int{3, 1}, e.Progress().Runs)
}
