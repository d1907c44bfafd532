package cranstandin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// maxSetMs bounds a time that is set from outside, in milliseconds.
const maxSetMs = int64(24 * time.Hour / time.Millisecond)

// Faults are the platform's settable misbehaviours. The zero value is a
// platform that works.
type Faults struct {
	// LogOutage makes every call of the log fail, also reads that wait.
	LogOutage bool `json:"logOutage,omitempty"`
	// LogDelayMs delays every call of the log, in milliseconds. A delayed
	// append takes effect even if its caller gives up meanwhile.
	LogDelayMs int `json:"logDelayMs,omitempty"`
	// LoseAppendAnswers loses the answers of the next appends, after effect.
	LoseAppendAnswers int `json:"loseAppendAnswers,omitempty"`
	// LoseEveryAppendAnswer loses the answer of every k-th append; zero
	// loses none.
	LoseEveryAppendAnswer int `json:"loseEveryAppendAnswer,omitempty"`
	// DuplicateAppends appends the next appends twice.
	DuplicateAppends int `json:"duplicateAppends,omitempty"`
	// DuplicateEveryAppend appends every k-th append twice; zero none.
	DuplicateEveryAppend int `json:"duplicateEveryAppend,omitempty"`
	// ExpireRecords drops every kept record at the moment when the fault is
	// set; records that are appended later are kept as usual.
	ExpireRecords bool `json:"expireRecords,omitempty"`
	// OutageHangs lets the calls that an outage or a cut fails hang first,
	// until the faults are set anew or the caller gives up.
	OutageHangs bool `json:"outageHangs,omitempty"`
	// FleetOutage makes every call of the fleet fail.
	FleetOutage bool `json:"fleetOutage,omitempty"`
	// ListFrozen keeps the list as it was when the fault was set.
	ListFrozen bool `json:"listFrozen,omitempty"`
	// ListLagMs is added to the list's lag, in milliseconds.
	ListLagMs int `json:"listLagMs,omitempty"`
	// ShowLive lists these instances as live, also when they are gone.
	ShowLive []string `json:"showLive,omitempty"`
	// ShowGone lists these instances as gone, also when they are live.
	ShowGone []string `json:"showGone,omitempty"`
	// LoseActionAnswers loses the answers of the next actions, after effect.
	LoseActionAnswers int `json:"loseActionAnswers,omitempty"`
	// LoseEveryActionAnswer loses the answer of every k-th action; zero
	// loses none.
	LoseEveryActionAnswer int `json:"loseEveryActionAnswer,omitempty"`
	// CutFromLog names clients whose calls of the log all fail.
	CutFromLog []string `json:"cutFromLog,omitempty"`
	// CutFromFleet names clients whose calls of the fleet all fail.
	CutFromFleet []string `json:"cutFromFleet,omitempty"`
}

// validate reports a value that makes no sense.
func (f Faults) validate() error {
	counts := []int{
		f.LoseAppendAnswers, f.LoseEveryAppendAnswer, f.DuplicateAppends,
		f.DuplicateEveryAppend, f.LoseActionAnswers, f.LoseEveryActionAnswer,
	}
	if slices.Min(counts) < 0 {
		return cranfault.New(cranfault.Invalid, "use zero or more", "a fault's count is negative")
	}
	if err := checkMilliseconds("logDelayMs", int64(f.LogDelayMs)); err != nil {
		return err
	}
	return checkMilliseconds("listLagMs", int64(f.ListLagMs))
}

// checkMilliseconds refuses a time that is negative or longer than a day.
func checkMilliseconds(name string, ms int64) error {
	if ms < 0 || ms > maxSetMs {
		return cranfault.New(cranfault.Invalid, "use milliseconds from zero to a day", "%s is %d", name, ms)
	}
	return nil
}

// clone copies the faults, so that no slice is shared.
func (f Faults) clone() Faults {
	f.ShowLive = slices.Clone(f.ShowLive)
	f.ShowGone = slices.Clone(f.ShowGone)
	f.CutFromLog = slices.Clone(f.CutFromLog)
	f.CutFromFleet = slices.Clone(f.CutFromFleet)
	return f
}

// phase returns the phase that the faults show of a listed instance.
func (f Faults) phase(i cranplatform.Instance) cranplatform.Phase {
	switch {
	case slices.Contains(f.ShowLive, i.ID):
		return cranplatform.PhaseLive
	case slices.Contains(f.ShowGone, i.ID):
		return cranplatform.PhaseGone
	default:
		return i.Phase
	}
}

// injector holds the faults in force and decides the fate of each call.
type injector struct {
	// setting is held while the faults are replaced, around mu.
	setting sync.Mutex
	mu      sync.Mutex
	faults  Faults
	// appends and actions count the calls since the faults were set.
	appends int
	actions int
	// changed is closed and replaced whenever the faults are set.
	changed chan struct{}
}

func newInjector() *injector {
	return &injector{changed: make(chan struct{})}
}

// set replaces the faults, after prepare performed those that strike once,
// and wakes every waiting call.
func (i *injector) set(f Faults, prepare ...func(*Faults)) error {
	if err := f.validate(); err != nil {
		return err
	}
	i.setting.Lock()
	defer i.setting.Unlock()
	for _, p := range prepare {
		p(&f)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f.clone()
	i.appends = 0
	i.actions = 0
	close(i.changed)
	i.changed = make(chan struct{})
	return nil
}

// get returns the faults in force; counts of next calls are what is left.
func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.clone()
}

// watch returns a channel that is closed at the next change.
func (i *injector) watch() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.changed
}

// refuse returns the error of a call that an outage or a cut fails, after
// the call hung if it is to hang.
func (i *injector) refuse(ctx context.Context, check func() error) error {
	changed := i.watch()
	err := check()
	if err == nil || !i.get().OutageHangs {
		return err
	}
	select {
	case <-changed:
		return err
	case <-ctx.Done():
		return gaveUp(ctx)
	}
}

// logCall fails if the client can't reach the log.
func (i *injector) logCall(client string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LogOutage {
		return unavailable(cranfault.LogUnavailable, "the log has an outage")
	}
	if client != "" && slices.Contains(i.faults.CutFromLog, client) {
		return unavailable(cranfault.LogUnavailable, "the client is cut off from the log")
	}
	return nil
}

// fleetCall fails if the client can't reach the fleet.
func (i *injector) fleetCall(client string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.FleetOutage {
		return unavailable(cranfault.NotReady, "the fleet has an outage")
	}
	if client != "" && slices.Contains(i.faults.CutFromFleet, client) {
		return unavailable(cranfault.NotReady, "the client is cut off from the fleet")
	}
	return nil
}

// appendFate decides whether an append is duplicated and its answer lost.
func (i *injector) appendFate() (duplicate, lose bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.appends++
	duplicate = strikes(&i.faults.DuplicateAppends, i.faults.DuplicateEveryAppend, i.appends)
	lose = strikes(&i.faults.LoseAppendAnswers, i.faults.LoseEveryAppendAnswer, i.appends)
	return duplicate, lose
}

// actionFate decides whether an action's answer is lost.
func (i *injector) actionFate() (lose bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.actions++
	return strikes(&i.faults.LoseActionAnswers, i.faults.LoseEveryActionAnswer, i.actions)
}

// strikes reports whether a fault strikes the count-th call, and uses up one
// of the next calls that it was set for.
func strikes(next *int, every, count int) bool {
	if *next > 0 {
		*next--
		return true
	}
	return every > 0 && count%every == 0
}

// unavailable returns the fault of a call that the platform could not serve.
func unavailable(kind cranfault.Kind, message string) error {
	return cranfault.New(kind, "wait and try again", "%s", message)
}

// answerLostError marks a call that took effect without an answer. Over HTTP
// the connection breaks off in place of an answer.
type answerLostError struct {
	fault *cranfault.Fault
}

func newAnswerLost(kind cranfault.Kind) error {
	remedy := "learn the outcome by reading it back"
	return &answerLostError{fault: cranfault.New(kind, remedy, "the platform's answer was lost")}
}

// Error returns the fault's text.
func (e *answerLostError) Error() string { return e.fault.Error() }

// Unwrap returns the fault.
func (e *answerLostError) Unwrap() error { return e.fault }
