package cransoak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranledger"
)

// newWatched returns a soak with two entry instances, of which the second has sent the returned
// start.
func newWatched(t *testing.T) (*soak, cranledger.LateStart) {
	s := &soak{standing: map[string]bool{}, startedAt: time.Now()}
	for name, text := range map[string]string{
		"entry0": "",
		"entry1": `{"process":"entry1","event":1201,"name":"runPlaced","job":"j","number":2,"target":"t0","task":"j.0.0.1","ageMs":3}` + "\n",
	} {
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		s.entries = append(s.entries, &entry{name: name, logFile: file})
	}
	return s, cranledger.LateStart{
		Start:       cranledger.Start{Task: "j.0.0.1", Run: 2, Target: "t0", At: s.startedAt.Add(time.Minute)},
		CancelledAt: s.startedAt,
	}
}

// disruptBefore records a disruption that ended a time before a start.
func disruptBefore(s *soak, subject string, l cranledger.LateStart, before time.Duration) {
	s.disruptions.Begin(subject, s.startedAt)(l.At.Add(-before))
}

func TestLateStartIsViolation(t *testing.T) {
	s, late := newWatched(t)
	disruptBefore(s, "entry0", late, 0)
	disruptBefore(s, "entry1", late, contactTime+time.Millisecond)
	s.checkLateStart(late)
	require.Equal(t, 1, s.report.LateStarts)
	require.Zero(t, s.report.ExcusedStarts)
	require.Len(t, s.report.Violations, 1)
	require.Contains(t, s.report.Violations[0], `1m0s after its cancellation was acknowledged; sent by "entry1"`)
}

func TestLateStartIsExcusedByDisruption(t *testing.T) {
	for _, subject := range []string{"entry1", storeSubject, soakSubject, "t0"} {
		s, late := newWatched(t)
		disruptBefore(s, subject, late, contactTime)
		s.checkLateStart(late)
		require.Equal(t, 1, s.report.ExcusedStarts, subject)
		require.Empty(t, s.report.Violations, subject)
	}
}

func TestLateStartOfUnknownSenderIsExcusedByAnyDisruption(t *testing.T) {
	s, late := newWatched(t)
	late.Run = 3
	s.checkLateStart(late)
	require.Len(t, s.report.Violations, 1)
	disruptBefore(s, "entry0", late, 0)
	s.checkLateStart(late)
	require.Equal(t, 1, s.report.ExcusedStarts)
}

func TestStandStillCountsOncePerJob(t *testing.T) {
	s, _ := newWatched(t)
	still := cranledger.StandStill{Job: "j", Since: s.startedAt}
	s.recordStandStill(still, true, s.startedAt)
	s.recordStandStill(still, true, s.startedAt)
	require.Equal(t, 1, s.report.ExcusedStandStills)
	require.Empty(t, s.report.Violations)
	s.recordStandStill(still, false, s.startedAt)
	s.recordStandStill(still, false, s.startedAt)
	s.recordStandStill(still, true, s.startedAt)
	require.Zero(t, s.report.ExcusedStandStills)
	require.Equal(t, 1, s.report.StandStills)
	require.Len(t, s.report.Violations, 1)
}
