package cransched

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpool"
)

// PeakExpected reports that a pool gets instances for its next peak, once for each peak.
type PeakExpected struct {
	Pool string
	// Instances is how many the pool needs at the peak, Next the time until it begins.
	Instances int
	Next      time.Duration
}

func (PeakExpected) effect() {}

// reportPeaks reports the peaks for which pools get instances from now on.
func (s *Scheduler) reportPeaks(pools []cranpool.Pool, balances []cranpool.Balance) {
	outlooks := map[string]*cranpool.Outlook{}
	for i := range pools {
		outlooks[pools[i].Name] = pools[i].Outlook
	}
	for _, b := range balances {
		o := outlooks[b.Pool]
		near := o != nil && o.Near()
		if near && !s.fleet.peaksNear[b.Pool] {
			s.emit(PeakExpected{Pool: b.Pool, Instances: b.Prepared, Next: o.NextPeak})
		}
		s.fleet.peaksNear[b.Pool] = near
	}
}
