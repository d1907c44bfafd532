package cranwavesim

import "github.com/cranberrypick/cranberrypick/internal/cranfault"

// startMs is the virtual time at the start.
const startMs = 1_000_000

// maxBounds is after how many lower bounds a run counts as stuck; an hour is
// added for halts.
const maxBounds = 10

// Run measures one round of maintenance.
func Run(s Settings) (Result, error) {
	if err := s.check(); err != nil {
		return Result{}, err
	}
	w := newWorld(s)
	if err := w.build(); err != nil {
		return Result{}, err
	}
	bound, by := s.boundMs()
	w.result.Settings, w.result.LowerBoundMs, w.result.LimitedBy = s, int64(bound), by
	w.result.startMs = w.Now()
	w.open = 1
	if !s.OneWave {
		w.open = s.Pools
	}
	w.propose()
	for m := range memberCount {
		w.Schedule(w.Now()+int64(m)*beatMs/memberCount, func() { w.beat(m) })
	}
	if s.Fail {
		w.Schedule(w.Now()+int64(bound/2), w.fail)
	}
	return w.finish(w.Now() + int64(maxBounds*bound) + 3_600_000)
}

func (w *world) finish(endMs int64) (Result, error) {
	for w.open > 0 && w.journal.err == nil && w.Now() < endMs && w.RunNext() {
	}
	if w.journal.err != nil {
		return w.result, w.journal.err
	}
	if w.open > 0 {
		return w.result, cranfault.New(cranfault.NotReady, "look at the waves that are left",
			"%d waves did not end within %d s", w.open, (endMs-startMs)/1000)
	}
	r := w.result
	r.MakespanMs = w.Now() - r.startMs
	r.Ratio = float64(r.MakespanMs) / float64(r.LowerBoundMs)
	r.DrawnRatio = float64(r.MakespanMs) / w.drawnBoundMs()
	r.Refused = w.journal.refused
	r.Transitions, r.BudgetBreaches = w.budget.checks, w.budget.broken
	return r, nil
}

// drawnBoundMs is the lower bound for the very times that were drawn.
func (w *world) drawnBoundMs() float64 {
	var longest, sum int64
	for _, ms := range w.drawnMs {
		longest = max(longest, ms)
		sum += ms
	}
	wave := longest
	if w.settings.OneWave {
		wave = sum
	}
	return max(float64(longest)/float64(w.settings.MaxUnavailable), float64(wave)/float64(w.settings.MaxParallel))
}
