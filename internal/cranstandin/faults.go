package cranstandin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// maxDurationMs limits the durations in faults and control calls, in
// milliseconds.
const maxDurationMs = int64(24 * time.Hour / time.Millisecond)

// Faults describes the faults that are injected into the platform. The zero
// value injects none.
type Faults struct {
	// LogOutage makes every call to the log fail, including waiting reads.
	LogOutage bool `json:"logOutage,omitempty"`
	// LogDelayMs delays every call to the log, in milliseconds. A delayed
	// append takes effect even if the caller's context ends meanwhile.
	LogDelayMs int `json:"logDelayMs,omitempty"`
	// LoseAppendAnswers is the number of appends, starting with the next one,
	// that take effect but whose response is lost.
	LoseAppendAnswers int `json:"loseAppendAnswers,omitempty"`
	// LoseEveryAppendAnswer is the interval, in appends, at which the response
	// of an append is lost. Zero loses none.
	LoseEveryAppendAnswer int `json:"loseEveryAppendAnswer,omitempty"`
	// DuplicateAppends is the number of appends, starting with the next one,
	// whose payloads are appended twice.
	DuplicateAppends int `json:"duplicateAppends,omitempty"`
	// DuplicateEveryAppend is the interval, in appends, at which the payloads of
	// an append are appended twice. Zero duplicates none.
	DuplicateEveryAppend int `json:"duplicateEveryAppend,omitempty"`
	// ExpireRecords drops every kept record at the moment when the fault is
	// set. Records that are appended later are kept as usual.
	ExpireRecords bool `json:"expireRecords,omitempty"`
	// OutageHangs makes the calls that fail because of LogOutage, FleetOutage,
	// CutFromLog or CutFromFleet hang first, until the faults are replaced or
	// the call's context ends.
	OutageHangs bool `json:"outageHangs,omitempty"`
	// FleetOutage makes every call to the fleet fail.
	FleetOutage bool `json:"fleetOutage,omitempty"`
	// ListFrozen makes the list of instances stay as it was when the fault was
	// set.
	ListFrozen bool `json:"listFrozen,omitempty"`
	// ListLagMs is added to the delay with which the list shows changes, in
	// milliseconds.
	ListLagMs int `json:"listLagMs,omitempty"`
	// ShowLive names instances that are listed as live even if they are gone.
	ShowLive []string `json:"showLive,omitempty"`
	// ShowGone names instances that are listed as gone even if they are live.
	ShowGone []string `json:"showGone,omitempty"`
	// LoseActionAnswers is the number of actions, starting with the next one,
	// that take effect but whose response is lost.
	LoseActionAnswers int `json:"loseActionAnswers,omitempty"`
	// LoseEveryActionAnswer is the interval, in actions, at which the response
	// of an action is lost. Zero loses none.
	LoseEveryActionAnswer int `json:"loseEveryActionAnswer,omitempty"`
	// CutFromLog names clients whose calls to the log all fail.
	CutFromLog []string `json:"cutFromLog,omitempty"`
	// CutFromFleet names clients whose calls to the fleet all fail.
	CutFromFleet []string `json:"cutFromFleet,omitempty"`
}

// validate returns an error if a count or duration is out of range.
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

// checkMilliseconds refuses a duration that is negative or longer than a day.
func checkMilliseconds(name string, ms int64) error {
	if ms < 0 || ms > maxDurationMs {
		return cranfault.New(cranfault.Invalid, "use a number of milliseconds from 0 to 86400000", "%s is %d", name, ms)
	}
	return nil
}

// clone returns a copy that shares no slice with the original.
func (f Faults) clone() Faults {
	f.ShowLive = slices.Clone(f.ShowLive)
	f.ShowGone = slices.Clone(f.ShowGone)
	f.CutFromLog = slices.Clone(f.CutFromLog)
	f.CutFromFleet = slices.Clone(f.CutFromFleet)
	return f
}

// listedPhase returns the phase that the list shows for an instance.
func (f Faults) listedPhase(i cranplatform.Instance) cranplatform.Phase {
	switch {
	case slices.Contains(f.ShowLive, i.ID):
		return cranplatform.PhaseLive
	case slices.Contains(f.ShowGone, i.ID):
		return cranplatform.PhaseGone
	default:
		return i.Phase
	}
}

// injector holds the injected faults and decides which calls they apply to.
type injector struct {
	// setMu serialises set. It is taken before mu and before the locks that
	// the functions passed to set take.
	setMu  sync.Mutex
	mu     sync.Mutex
	faults Faults
	// appends and actions count the appends and actions since the faults were last set.
	appends int
	actions int
	// changed is closed and replaced whenever the faults are set.
	changed chan struct{}
}

func newInjector() *injector {
	return &injector{changed: make(chan struct{})}
}

// set replaces the faults and wakes every waiting call. Before that it calls
// the onSet functions, which apply the faults that take effect when they are
// set and may change the new faults.
func (i *injector) set(f Faults, onSet ...func(*Faults)) error {
	if err := f.validate(); err != nil {
		return err
	}
	i.setMu.Lock()
	defer i.setMu.Unlock()
	for _, apply := range onSet {
		apply(&f)
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

// get returns the current faults. The fields that count calls from the next one on,
// such as DuplicateAppends, have the numbers of calls that remain.
func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults.clone()
}

// watch returns a channel that is closed when the faults are next set.
func (i *injector) watch() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.changed
}

// checkOrHang returns the error of check. If there is one and OutageHangs is
// set, it first hangs until the faults are replaced or the context ends.
func (i *injector) checkOrHang(ctx context.Context, check func() error) error {
	changed := i.watch()
	err := check()
	if err == nil || !i.get().OutageHangs {
		return err
	}
	select {
	case <-changed:
		return err
	case <-ctx.Done():
		return contextFault(ctx)
	}
}

// checkLogAccess returns an error if the faults make the log unreachable for
// the client.
func (i *injector) checkLogAccess(client string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.LogOutage {
		return unavailable(cranfault.LogUnavailable, "the log is unavailable because of an injected outage")
	}
	if client != "" && slices.Contains(i.faults.CutFromLog, client) {
		return unavailable(cranfault.LogUnavailable, "an injected fault makes the log unreachable for the client")
	}
	return nil
}

// checkFleetAccess returns an error if the faults make the fleet unreachable
// for the client.
func (i *injector) checkFleetAccess(client string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.FleetOutage {
		return unavailable(cranfault.NotReady, "the fleet is unavailable because of an injected outage")
	}
	if client != "" && slices.Contains(i.faults.CutFromFleet, client) {
		return unavailable(cranfault.NotReady, "an injected fault makes the fleet unreachable for the client")
	}
	return nil
}

// nextAppendFaults counts an append and reports whether it is duplicated and
// whether its response is lost.
func (i *injector) nextAppendFaults() (duplicate, lose bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.appends++
	duplicate = faultApplies(&i.faults.DuplicateAppends, i.faults.DuplicateEveryAppend, i.appends)
	lose = faultApplies(&i.faults.LoseAppendAnswers, i.faults.LoseEveryAppendAnswer, i.appends)
	return duplicate, lose
}

// nextActionFaults counts an action and reports whether its response is lost.
func (i *injector) nextActionFaults() (lose bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.actions++
	return faultApplies(&i.faults.LoseActionAnswers, i.faults.LoseEveryActionAnswer, i.actions)
}

// faultApplies reports whether a fault applies to the call with the number
// count. It does if remaining isn't zero, which it then decrements, or if count
// is a multiple of every.
func faultApplies(remaining *int, every, count int) bool {
	if *remaining > 0 {
		*remaining--
		return true
	}
	return every > 0 && count%every == 0
}

// unavailable returns the error of a call that the platform can't serve now.
func unavailable(kind cranfault.Kind, message string) error {
	return cranfault.New(kind, "wait and try again", "%s", message)
}

// responseLostError is the error of a call that took effect but whose response
// is lost. Over HTTP the server closes the connection without a response.
type responseLostError struct {
	fault *cranfault.Fault
}

func newResponseLost(kind cranfault.Kind) error {
	remedy := "read the state to find out whether the call took effect"
	return &responseLostError{fault: cranfault.New(kind, remedy, "the platform's response was lost")}
}

// Error implements error.
func (e *responseLostError) Error() string { return e.fault.Error() }

// Unwrap returns the underlying fault.
func (e *responseLostError) Unwrap() error { return e.fault }
