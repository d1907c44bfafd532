package cranjob

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
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

// TestAbsurdJobsAreInvalid checks that no job is accepted whose number of tasks, or a sum of
// whose demands, overflows.
func TestAbsurdJobsAreInvalid(t *testing.T) {
	valid := func() Job { return Job{ID: "a", Steps: []Step{{Count: 4, Demand: Resources{CPU: 1, Memory: 1}}}} }
	whole := valid()
	require.NoError(t, whole.Validate())
	for name, change := range map[string]func(*Job){
		"product of occurrences and tasks": func(j *Job) { j.Times = math.MaxInt/2 + 1 },
		"occurrences":                      func(j *Job) { j.Times = math.MaxInt },
		"processor":                        func(j *Job) { j.Steps[0].Demand.CPU = math.MaxInt },
		"memory":                           func(j *Job) { j.Steps[0].Demand.Memory = math.MaxInt - 1 },
		"accelerators":                     func(j *Job) { j.Steps[0].Demand.Accelerators = math.MaxInt },
		"limit of unavailable tasks":       func(j *Job) { j.Steps[0].MaxUnavailable = -1 },
	} {
		j := valid()
		change(&j)
		require.ErrorIs(t, j.Validate(), cranfault.MatchKind(cranfault.Invalid), name)
	}
}

// TestInvalidStoredJobIsSkipped applies submissions that no entry instance would store. The
// replica must not pass them on, and a sound job must be found.
func TestInvalidStoredJobIsSkipped(t *testing.T) {
	r := NewReplica()
	step := Step{Count: 1}
	for i, j := range []Job{
		{ID: "a", Steps: []Step{{Count: math.MaxInt}}},
		{ID: "a", Steps: []Step{{Count: -1}}},
		{ID: "a", Steps: []Step{step}, Times: math.MaxInt},
		{ID: "a", Steps: []Step{step, {Count: 1, After: []int{7}}}},
		{ID: "a", Steps: []Step{step, {Count: 1, After: []int{-1}}}},
		{ID: "a"},
		{ID: "other", Steps: []Step{step}},
	} {
		_, err := r.Apply(SubmissionKey("a"), Encode(j), uint64(i))
		require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed), "%+v", j)
		_, err = DecodeSubmission(SubmissionKey("a"), Encode(j))
		require.Error(t, err, "%+v", j)
		_, found := r.Lookup("a")
		require.False(t, found, "%+v", j)
	}
	require.NoError(t, r.Store(SubmissionKey("a"), Encode(Job{ID: "a", Steps: []Step{step}})))
	_, found := r.Lookup("a")
	require.True(t, found)
}

// TestMalformedDurationsAreSkipped checks that sums that are no numbers, from which the durations
// of all tasks of a queue would follow, are not applied.
func TestMalformedDurationsAreSkipped(t *testing.T) {
	r := NewReplica()
	sound := Durations{N: 2, SumX: 1, SumY: 2, SumXX: 1, SumXY: 3}
	require.NoError(t, r.Store(DurationsKey("q"), Encode(sound)))
	for _, d := range []Durations{{N: -1}, {N: math.NaN()}, {N: 1, SumX: math.Inf(1)}, {N: 1, SumXY: math.NaN()}, {N: 1, SumXX: -1}} {
		require.ErrorIs(t, r.Store(DurationsKey("q"), Encode(d)), cranfault.MatchKind(cranfault.Malformed), "%+v", d)
	}
	require.Equal(t, sound, r.Durations()["q"])
}
