package cranledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is the time from which the times of the tests count.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newLedger returns a ledger with ten slots and an accepted job "a" of two tasks.
func newLedger() *Ledger {
	l := New()
	l.AddSlots(10)
	l.ExpectJob("a", "spec", 2, false)
	l.RecordAccepted("a", after(0))
	return l
}

func begin(l *Ledger, task string, ms int) {
	l.RecordStart(Start{Task: task, Target: "t", Spec: "spec", Run: 1, At: after(ms)})
}

func TestStartAfterCancellationIsLate(t *testing.T) {
	l := newLedger()
	begin(l, "a.0.0.0", 100)
	l.RecordCancelling("a")
	l.RecordCancelled("a", after(1000))
	l.RecordCancelled("a", after(3000))
	begin(l, "a.0.0.1", 4000)
	require.Empty(t, l.LateStarts(3*time.Second, 0), "a start at the bound is in time")
	begin(l, "a.0.0.1", 4001)
	late := l.LateStarts(3*time.Second, 0)
	require.Len(t, late, 1)
	require.Equal(t, "a.0.0.1", late[0].Task)
	require.Equal(t, 3001*time.Millisecond, late[0].Delay())
	require.Empty(t, l.LateStarts(3*time.Second, 1))
}

func TestUnacknowledgedCancellationMakesNoStartLate(t *testing.T) {
	l := newLedger()
	l.RecordCancelling("a")
	begin(l, "a.0.0.0", 9000)
	require.Empty(t, l.LateStarts(3*time.Second, 0))
}

func TestJobWithoutRunningTasksStandsStill(t *testing.T) {
	l := newLedger()
	require.Empty(t, l.StandStills(after(2999)))
	require.Equal(t, []StandStill{{Job: "a", Since: after(0)}}, l.StandStills(after(3000)))

	begin(l, "a.0.0.0", 3000)
	require.Empty(t, l.StandStills(after(9000)), "a task is running")
	l.RecordEnd("a.0.0.0", "t", "done", after(9000))
	require.Empty(t, l.StandStills(after(11_999)))
	require.Equal(t, []StandStill{{Job: "a", Since: after(9000)}}, l.StandStills(after(12_000)), "the other task waits")

	begin(l, "a.0.0.1", 12_000)
	l.RecordEnd("a.0.0.1", "t", "done", after(13_000))
	require.Empty(t, l.StandStills(after(30_000)), "all tasks are done")
}

func TestJobThatNeedNotRunDoesNotStandStill(t *testing.T) {
	l := newLedger()
	l.ExpectJob("b", "spec", 1, false)
	l.RecordCancelling("a")
	require.Empty(t, l.StandStills(after(9000)), "a is being cancelled, b was not accepted")
}

func TestJobWithoutFreeSlotsDoesNotStandStill(t *testing.T) {
	l := newLedger()
	l.ExpectJob("b", "spec", 6, false)
	l.RecordAccepted("b", after(0))
	for i, task := range []string{"b.0.0.0", "b.0.0.1", "b.0.0.2", "b.0.0.3", "b.0.0.4", "b.0.0.5"} {
		begin(l, task, 1000+i)
	}
	require.Empty(t, l.StandStills(after(9000)), "six of ten slots are in use")
	l.RecordEnd("b.0.0.0", "t", "done", after(9000))
	require.Empty(t, l.StandStills(after(12_000)))
	require.Equal(t, []StandStill{{Job: "a", Since: after(0)}}, l.StandStills(after(12_001)), "half was free for the whole time")
}

func TestLongRunningTaskStandsStillBesideOthers(t *testing.T) {
	l := newLedger()
	l.ExpectJob("c", "spec", 2, true)
	l.RecordAccepted("c", after(0))
	l.RecordCancelling("a")
	begin(l, "c.0.0.0", 0)
	begin(l, "c.0.0.1", 0)
	l.RecordEnd("c.0.0.1", "t", "lapsed", after(1000))
	require.Empty(t, l.StandStills(after(9999)))
	require.Equal(t, []StandStill{{Job: "c", Task: "c.0.0.1", Since: after(1000)}}, l.StandStills(after(10_000)))
}

func TestTaskRunsTwice(t *testing.T) {
	l := newLedger()
	begin(l, "a.0.0.0", 0)
	l.RecordStart(Start{Task: "a.0.0.0", Target: "u", Spec: "spec", Run: 2, At: after(1)})
	require.Equal(t, []string{"a.0.0.0 runs on t and is started again on u"}, l.Violations())
}

func TestTaskStartsAgainAfterAcknowledgedEnd(t *testing.T) {
	l := newLedger()
	begin(l, "a.0.0.0", 0)
	l.RecordEnd("a.0.0.0", "t", "done", after(1))
	begin(l, "a.0.0.0", 2)
	require.Empty(t, l.Violations())
	l.RecordAck("a.0.0.0")
	require.Len(t, l.Violations(), 1)
}

func TestUnknownTaskStarts(t *testing.T) {
	l := newLedger()
	begin(l, "x.0.0.0", 0)
	l.RecordStart(Start{Task: "a.0.0.0", Target: "t", Spec: "other", At: after(0)})
	begin(l, "x.0.0.1", 0)
	require.Len(t, l.Violations(), 3)
}

func TestDisruptions(t *testing.T) {
	d := &Disruptions{}
	end := d.Begin("e1", after(1000))
	require.True(t, d.Any(after(5000), after(6000), "e1", "store"), "it lasts")
	end(after(2000))
	require.True(t, d.Any(after(2000), after(6000), "e1"))
	require.True(t, d.Any(after(0), after(1000)))
	require.False(t, d.Any(after(2001), after(6000)))
	require.False(t, d.Any(after(0), after(999)))
	require.False(t, d.Any(after(1000), after(2000), "e2", "store"))
}
