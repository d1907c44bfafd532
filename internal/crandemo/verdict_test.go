package crandemo

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// timeAt returns the time ms milliseconds after the Unix epoch. The constructed ledgers
// start at the epoch.
func timeAt(ms int64) time.Time { return time.UnixMilli(ms) }

// cleanLedgers returns the ledgers of a demonstration without breaches. Pool a has three
// instances, of which one may be unavailable; pool b has one. Instance a2 is rebooted from
// 1000 to 1300 ms, and s1 is moved from the spare pool to b from 2000 to 2300 ms.
func cleanLedgers(t *testing.T) ledgers {
	t.Helper()
	config, err := cranfleet.New("test", cranfleet.WithSpare("spare"),
		cranfleet.WithPool("a", 3), cranfleet.WithPool("b", 1),
		cranfleet.WithService("as", "a", cranfleet.MaxUnavailable(1)),
		cranfleet.WithService("bs", "b", cranfleet.MaxUnavailable(1)))
	require.NoError(t, err)
	l := ledgers{
		instances: []cranplatform.Instance{
			{ID: "a1", Pool: "a"},
			{ID: "a2", Pool: "a"},
			{ID: "a3", Pool: "a"},
			{ID: "b1", Pool: "b"},
			{ID: "s1", Pool: "spare"},
		},
		actions: []cranstandin.LedgerEntry{
			{Kind: cranplatform.ActionReboot, Instance: "a2", AtMs: 1000, DoneMs: 1300},
			{Kind: cranplatform.ActionReassign, Instance: "s1", Pool: "b", AtMs: 2000, DoneMs: 2300, InProgressAtStop: cranstandin.InProgressUnknown},
		},
		publications: []publication{{config: config, acceptedAt: timeAt(0), inForceAt: timeAt(40)}},
		killedAt:     map[string]time.Time{"e9": timeAt(500)},
		start:        timeAt(0),
		end:          timeAt(4000),
	}
	l.addRequest("as", false, "a1", 100, crantraffic.Answered)
	l.addRequest("as", true, "a3", 1100, crantraffic.Answered)
	l.addRequest("bs", false, "s1", 2400, crantraffic.Unknown, crantraffic.Answered)
	l.addRequest("as", false, "", 0, crantraffic.NotRun, crantraffic.NotRun)
	l.addRequest("bs", false, "", 0, crantraffic.Unknown, crantraffic.NotRun)
	return l
}

// addRequest adds a request whose calls ended with the outcomes, and a run of 100 ms on the
// target unless that is empty.
func (l *ledgers) addRequest(service string, idempotent bool, target string, startMs int64, outcomes ...crantraffic.Outcome) {
	r := request{key: service + "-" + string(rune('0'+len(l.requests))), service: service, idempotent: idempotent}
	for _, o := range outcomes {
		r.calls = append(r.calls, call{entry: "e1", outcome: o, end: timeAt(startMs + 100)})
	}
	l.requests = append(l.requests, r)
	if target != "" {
		l.addRun(r.key, target, startMs)
	}
}

// addRun adds a run of 100 ms of the request with the key.
func (l *ledgers) addRun(key, target string, startMs int64) {
	r := cranstandin.Run{Path: "/run/" + key, Start: timeAt(startMs), End: timeAt(startMs + 100)}
	for n := range l.targets {
		if l.targets[n].Target == target {
			l.targets[n].Runs = append(l.targets[n].Runs, r)
			return
		}
	}
	l.targets = append(l.targets, cranstandin.TargetLedger{Target: target, Runs: []cranstandin.Run{r}})
}

func TestCleanLedgersHaveNoBreach(t *testing.T) {
	require.Equal(t, Report{
		Requests: 5, Answered: 3, NotRun: 1, Unknown: 1,
		ConfigRolloutSeconds: 0.04, InstanceMoves: 1,
		// The instance s1 is idle in the spare pool for 2.0 s until its move begins, and for
		// 1.7 s after the move as the second instance of b, whose configured size is 1.
		IdleInstanceSeconds: 2.0 + 1.7,
	}, newReport(cleanLedgers(t)))
}

// TestBreachesAreCounted changes clean ledgers in each case and checks that exactly the
// resulting breach is counted, or none.
func TestBreachesAreCounted(t *testing.T) {
	none := newReport(cleanLedgers(t))
	cases := []struct {
		name   string
		change func(*ledgers)
		want   Report
	}{
		{"run twice on one target", func(l *ledgers) { l.addRun("as-0", "a1", 300) }, Report{Doubled: 1}},
		{"run twice on two targets", func(l *ledgers) { l.addRun("as-0", "a3", 300) }, Report{Doubled: 1}},
		{"a request that ran three times counts once", func(l *ledgers) {
			l.addRun("as-0", "a3", 300)
			l.addRun("as-0", "a3", 400)
		}, Report{Doubled: 1}},
		{"an idempotent request may run twice", func(l *ledgers) { l.addRun("as-1", "a1", 300) }, Report{}},
		{"answered without a run", func(l *ledgers) { l.addRequest("as", true, "", 0, crantraffic.Answered) }, Report{Lost: 1, Requests: 1, Answered: 1}},
		{"no outcome from a live entry", func(l *ledgers) { l.addRequest("as", true, "a1", 0, noOutcome) }, Report{Lost: 1, Requests: 1, Unknown: 1}},
		{"no outcome from the first call, answered by the retry", func(l *ledgers) {
			l.addRequest("as", false, "a1", 0, noOutcome, crantraffic.Answered)
		}, Report{Lost: 1, Requests: 1, Answered: 1}},
		{"no outcome from an entry that was killed later", func(l *ledgers) {
			l.addRequest("as", true, "a1", 0, noOutcome)
			l.requests[5].calls[0] = call{entry: "e9", end: timeAt(499)}
		}, Report{Lost: 1, Requests: 1, Unknown: 1}},
		{"no outcome from a killed entry", func(l *ledgers) {
			l.addRequest("as", true, "a1", 0, noOutcome)
			l.requests[5].calls[0] = call{entry: "e9", end: timeAt(500)}
		}, Report{Requests: 1, Unknown: 1}},
		{"outcome not run, but the request ran", func(l *ledgers) { l.addRun("as-3", "a1", 3900) }, Report{FalseNotRun: 1}},
		{"outcomes unknown and not run, and the request ran", func(l *ledgers) { l.addRun("bs-4", "b1", 3900) }, Report{}},
		{"the target records an aborted run", func(l *ledgers) {
			l.addRequest("as", true, "a2", 900, crantraffic.Unknown)
			l.abortLastRun("a2", 1000)
		}, Report{CutOff: 1, Requests: 1, Unknown: 1}},
		{"the platform records aborted runs", func(l *ledgers) { l.actions[0].InProgressAtStop = 3 }, Report{CutOff: 3}},
		{"target and platform record the same aborted run", func(l *ledgers) {
			l.actions[0].InProgressAtStop = 1
			l.addRequest("as", true, "a2", 900, crantraffic.Unknown)
			l.abortLastRun("a2", 1000)
		}, Report{CutOff: 1, Requests: 1, Unknown: 1}},
		{"a run aborted by an unplanned loss of the instance", func(l *ledgers) {
			l.addRequest("as", true, "a2", 3900, crantraffic.Unknown)
			l.abortLastRun("a2", 3950)
			l.addLoss("a2", 3950)
		}, Report{Requests: 1, Unknown: 1}},
		{"a second reboot in the pool during the first", func(l *ledgers) { l.addReboot("a3", 1299) }, Report{BudgetBreaches: 1}},
		{"a second reboot after the first", func(l *ledgers) { l.addReboot("a3", 1300) }, Report{}},
		{"a reboot after the loss of another instance", func(l *ledgers) {
			l.actions = l.actions[1:]
			l.addLoss("a3", 900)
			l.addReboot("a2", 1000)
		}, Report{BudgetBreaches: 1}},
		{"a move out of the pool during a reboot", func(l *ledgers) { l.addMove("a3", "spare", 1100, 3999) }, Report{BudgetBreaches: 1}},
		{"a run on another pool's instance", func(l *ledgers) { l.addRequest("as", true, "b1", 100, crantraffic.Answered) }, Report{PoolConflicts: 1, Requests: 1, Answered: 1}},
		{"a run before the move is complete", func(l *ledgers) { l.addRequest("bs", true, "s1", 2100, crantraffic.Answered) }, Report{PoolConflicts: 1, Requests: 1, Answered: 1}},
		{"a run during which the move is complete", func(l *ledgers) { l.addRequest("bs", true, "s1", 2250, crantraffic.Answered) }, Report{PoolConflicts: 1, Requests: 1, Answered: 1}},
		{"a run during which the instance leaves the pool", func(l *ledgers) {
			l.addRequest("as", true, "a1", 3200, crantraffic.Answered)
			l.addMove("a1", "spare", 3000, 3250)
		}, Report{PoolConflicts: 1, Requests: 1, Answered: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := cleanLedgers(t)
			c.change(&l)
			got := newReport(l)
			require.Equal(t, got.Requests, got.Answered+got.NotRun+got.Unknown)
			// The idle time is not compared: it differs in the cases that make an instance
			// unavailable.
			got.IdleInstanceSeconds = 0
			c.want.ConfigRolloutSeconds = none.ConfigRolloutSeconds
			c.want.Requests += none.Requests
			c.want.Answered += none.Answered
			c.want.NotRun += none.NotRun
			c.want.Unknown += none.Unknown
			c.want.InstanceMoves = countMoves(l.actions)
			require.Equal(t, c.want, got)
		})
	}
}

// abortLastRun marks the last run of a target as aborted at a time.
func (l *ledgers) abortLastRun(target string, ms int64) {
	for _, t := range l.targets {
		if t.Target == target {
			r := &t.Runs[len(t.Runs)-1]
			r.Aborted, r.End = true, timeAt(ms)
		}
	}
}

func (l *ledgers) addReboot(id string, ms int64) {
	l.actions = append(l.actions, cranstandin.LedgerEntry{Kind: cranplatform.ActionReboot, Instance: id, AtMs: ms, DoneMs: ms + 300})
}

func (l *ledgers) addLoss(id string, ms int64) {
	l.actions = append(l.actions, cranstandin.LedgerEntry{Kind: cranstandin.KindLose, Instance: id, AtMs: ms, DoneMs: ms, InProgressAtStop: 1})
}

func (l *ledgers) addMove(id, pool string, ms, doneMs int64) {
	l.actions = append(l.actions, cranstandin.LedgerEntry{
		Kind: cranplatform.ActionReassign, Instance: id, Pool: pool, AtMs: ms, DoneMs: doneMs,
	})
}
