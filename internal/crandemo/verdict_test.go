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

// at returns a moment of the constructed sessions, in milliseconds.
func at(ms int64) time.Time { return time.UnixMilli(ms) }

// clean returns the ledgers of a session without breaches: pool a has three
// instances of which one may be unavailable, b has one; a2 is rebooted from
// 1000 to 1300 and s1 moved from the spare to b from 2000 to 2300.
func clean(t *testing.T) ledgers {
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
		publications: []publication{{config: config, accepted: at(0), inForce: at(40)}},
		killed:       map[string]time.Time{"e9": at(500)},
		start:        at(0),
		end:          at(4000),
	}
	l.ask("as", false, "a1", 100, crantraffic.Answered)
	l.ask("as", true, "a3", 1100, crantraffic.Answered)
	l.ask("bs", false, "s1", 2400, crantraffic.Unknown, crantraffic.Answered)
	l.ask("as", false, "", 0, crantraffic.NotRun, crantraffic.NotRun)
	l.ask("bs", false, "", 0, crantraffic.Unknown, crantraffic.NotRun)
	return l
}

// ask adds a request whose calls ended in the verdicts, and a run of 100 ms
// on a target unless that is empty.
func (l *ledgers) ask(service string, idempotent bool, target string, startMs int64, verdicts ...crantraffic.Outcome) {
	r := request{key: service + "-" + string(rune('0'+len(l.requests))), service: service, idempotent: idempotent}
	for _, v := range verdicts {
		r.calls = append(r.calls, call{entry: "e1", verdict: v, end: at(startMs + 100)})
	}
	l.requests = append(l.requests, r)
	if target != "" {
		l.run(r.key, target, startMs)
	}
}

// run adds a run of a key.
func (l *ledgers) run(key, target string, startMs int64) {
	r := cranstandin.Run{Path: "/run/" + key, Start: at(startMs), End: at(startMs + 100)}
	for n := range l.targets {
		if l.targets[n].Target == target {
			l.targets[n].Runs = append(l.targets[n].Runs, r)
			return
		}
	}
	l.targets = append(l.targets, cranstandin.TargetLedger{Target: target, Runs: []cranstandin.Run{r}})
}

func TestCleanSessionHasNoBreach(t *testing.T) {
	require.Equal(t, Report{
		Requests: 5, Answered: 3, NotRun: 1, Unknown: 1,
		ConfigRolloutSeconds: 0.04, InstanceMoves: 1,
		// The spare's instance until it moves, and the second of b after.
		IdleInstanceSeconds: 2.0 + 1.7,
	}, judge(clean(t)))
}

// TestBreachesAreCounted builds one breach into a clean session in each case
// and wants exactly that one counted.
func TestBreachesAreCounted(t *testing.T) {
	none := judge(clean(t))
	cases := []struct {
		name  string
		build func(*ledgers)
		want  Report
	}{
		{"run twice on one target", func(l *ledgers) { l.run("as-0", "a1", 300) }, Report{Doubled: 1}},
		{"run twice on two targets", func(l *ledgers) { l.run("as-0", "a3", 300) }, Report{Doubled: 1}},
		{"run thrice counts the request once", func(l *ledgers) {
			l.run("as-0", "a3", 300)
			l.run("as-0", "a3", 400)
		}, Report{Doubled: 1}},
		{"an idempotent request may run twice", func(l *ledgers) { l.run("as-1", "a1", 300) }, Report{}},
		{"answered without a run", func(l *ledgers) { l.ask("as", true, "", 0, crantraffic.Answered) }, Report{Lost: 1, Requests: 1, Answered: 1}},
		{"no outcome from a live entry", func(l *ledgers) { l.ask("as", true, "a1", 0, noOutcome) }, Report{Lost: 1, Requests: 1, Unknown: 1}},
		{"no outcome at first, answered at the retry", func(l *ledgers) {
			l.ask("as", false, "a1", 0, noOutcome, crantraffic.Answered)
		}, Report{Lost: 1, Requests: 1, Answered: 1}},
		{"no outcome from an entry that was killed later", func(l *ledgers) {
			l.ask("as", true, "a1", 0, noOutcome)
			l.requests[5].calls[0] = call{entry: "e9", end: at(499)}
		}, Report{Lost: 1, Requests: 1, Unknown: 1}},
		{"no outcome from a killed entry", func(l *ledgers) {
			l.ask("as", true, "a1", 0, noOutcome)
			l.requests[5].calls[0] = call{entry: "e9", end: at(500)}
		}, Report{Requests: 1, Unknown: 1}},
		{"told not run, and ran", func(l *ledgers) { l.run("as-3", "a1", 3900) }, Report{FalseNotRun: 1}},
		{"told unknown and not run, and ran", func(l *ledgers) { l.run("bs-4", "b1", 3900) }, Report{}},
		{"the target notes a cut run", func(l *ledgers) {
			l.ask("as", true, "a2", 900, crantraffic.Unknown)
			l.cut("a2", 1000)
		}, Report{CutOff: 1, Requests: 1, Unknown: 1}},
		{"the platform notes cut runs", func(l *ledgers) { l.actions[0].InProgressAtStop = 3 }, Report{CutOff: 3}},
		{"both note the same cut run", func(l *ledgers) {
			l.actions[0].InProgressAtStop = 1
			l.ask("as", true, "a2", 900, crantraffic.Unknown)
			l.cut("a2", 1000)
		}, Report{CutOff: 1, Requests: 1, Unknown: 1}},
		{"cut by an unplanned loss", func(l *ledgers) {
			l.ask("as", true, "a2", 3900, crantraffic.Unknown)
			l.cut("a2", 3950)
			l.lose("a2", 3950)
		}, Report{Requests: 1, Unknown: 1}},
		{"a second reboot in the pool", func(l *ledgers) { l.reboot("a3", 1299) }, Report{BudgetBreaches: 1}},
		{"a second reboot after the first", func(l *ledgers) { l.reboot("a3", 1300) }, Report{}},
		{"a reboot after a loss", func(l *ledgers) {
			l.actions = l.actions[1:]
			l.lose("a3", 900)
			l.reboot("a2", 1000)
		}, Report{BudgetBreaches: 1}},
		{"a move out of the pool during a reboot", func(l *ledgers) { l.move("a3", "spare", 1100, 3999) }, Report{BudgetBreaches: 1}},
		{"a run on another pool's instance", func(l *ledgers) { l.ask("as", true, "b1", 100, crantraffic.Answered) }, Report{PoolConflicts: 1, Requests: 1, Answered: 1}},
		{"a run before the move is complete", func(l *ledgers) { l.ask("bs", true, "s1", 2100, crantraffic.Answered) }, Report{PoolConflicts: 1, Requests: 1, Answered: 1}},
		{"a run during which the move is complete", func(l *ledgers) { l.ask("bs", true, "s1", 2250, crantraffic.Answered) }, Report{PoolConflicts: 1, Requests: 1, Answered: 1}},
		{"a run during which the instance leaves", func(l *ledgers) {
			l.ask("as", true, "a1", 3200, crantraffic.Answered)
			l.move("a1", "spare", 3000, 3250)
		}, Report{PoolConflicts: 1, Requests: 1, Answered: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := clean(t)
			c.build(&l)
			got := judge(l)
			require.Equal(t, got.Requests, got.Answered+got.NotRun+got.Unknown)
			// Idle time differs where an instance was taken away.
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

// cut marks the last run of a target as cut off at a moment.
func (l *ledgers) cut(target string, ms int64) {
	for _, t := range l.targets {
		if t.Target == target {
			r := &t.Runs[len(t.Runs)-1]
			r.Aborted, r.End = true, at(ms)
		}
	}
}

func (l *ledgers) reboot(id string, ms int64) {
	l.actions = append(l.actions, cranstandin.LedgerEntry{Kind: cranplatform.ActionReboot, Instance: id, AtMs: ms, DoneMs: ms + 300})
}

func (l *ledgers) lose(id string, ms int64) {
	l.actions = append(l.actions, cranstandin.LedgerEntry{Kind: cranstandin.KindLose, Instance: id, AtMs: ms, DoneMs: ms, InProgressAtStop: 1})
}

func (l *ledgers) move(id, pool string, ms, doneMs int64) {
	l.actions = append(l.actions, cranstandin.LedgerEntry{
		Kind: cranplatform.ActionReassign, Instance: id, Pool: pool, AtMs: ms, DoneMs: doneMs,
	})
}
