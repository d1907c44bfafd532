package cranpool

import (
	"math"
	"slices"
	"time"
)

const (
	// calendarSlot is the length of one slot of the history of a pool, and calendarSlots the number of
	// slots: a minute, which has three peaks if they come every 20 s.
	calendarSlot  = 250 * time.Millisecond
	calendarSlots = 240
	// CalendarSpan is the age from which work is no longer counted.
	CalendarSpan = calendarSlot * calendarSlots
	// minPeakSlots is the shortest peak, and minPauseSlots the shortest pause between two peaks. Within a peak
	// of few jobs per second nothing may arrive for a second.
	minPeakSlots  = 4
	minPauseSlots = 8
	// minPeriodSlots is the shortest period. In a shorter one no instance could be moved away and back.
	minPeriodSlots = 16
	// peakRatio is how many times as much work arrives in a peak as between peaks, at least.
	peakRatio = 4
	// periodTolerance is by how many slots the time between two peaks may differ from the period.
	// The mean time of the jobs of a peak varies by about one slot at ten jobs per second.
	periodTolerance = 3
	// minOwnPeaks is how many equally distant peaks of a pool are enough if those of other pools show no period.
	// Three peaks at random times are equally distant too often.
	minOwnPeaks = 4
	// thresholdRounds is how often the threshold between peaks and pauses is refined.
	thresholdRounds = 4
	// prepareAhead is how long before the begin of a peak its instances are ordered.
	prepareAhead = MoveTime + calendarSlot
)

// Calendar learns when the peaks of each pool come and how high they are, from the work that has arrived
// within the last minute. It has a fixed size per pool. A successor learns the same from the stored jobs,
// in any order. It isn't safe for concurrent use. A nil Calendar learns
// nothing.
type Calendar struct {
	pools map[string]*history
	// since is the time from which on all arrivals are known.
	since time.Duration
	// evaluatedAt is the slot in which the outlooks were computed.
	evaluatedAt time.Duration
	outlooks    map[string]*outlook
}

// NewCalendar returns a calendar for arrivals from the given time on.
func NewCalendar(since time.Duration) *Calendar {
	return &Calendar{pools: map[string]*history{}, since: since, evaluatedAt: -1, outlooks: map[string]*outlook{}}
}

// history holds the work and the number of the jobs that arrived in a pool, by slot modulo calendarSlots.
type history struct {
	work [calendarSlots]Load
	jobs [calendarSlots]int32
	// newest is the number of the newest slot, counted from time 0 of the steady clock.
	newest time.Duration
}

// Add adds the work of a job that arrived in a pool the given time ago, as the product of resources and seconds.
func (c *Calendar) Add(pool string, work Load, now, age time.Duration) {
	if c == nil {
		return
	}
	at := now - max(age, 0)
	if age >= CalendarSpan || at < 0 {
		return
	}
	c.since = min(c.since, at)
	h := c.pools[pool]
	if h == nil {
		h = &history{newest: now / calendarSlot}
		c.pools[pool] = h
	}
	h.advance(now / calendarSlot)
	slot := at / calendarSlot % calendarSlots
	h.work[slot] = h.work[slot].Plus(work)
	h.jobs[slot]++
}

// advance clears the slots after the newest one up to the given one.
func (h *history) advance(slot time.Duration) {
	for n := max(h.newest+1, slot-calendarSlots+1); n <= slot; n++ {
		h.work[n%calendarSlots], h.jobs[n%calendarSlots] = Load{}, 0
	}
	h.newest = max(h.newest, slot)
}

// peak is a time during which much more work arrived than before and after.
type peak struct {
	// start and end are slots; the end is excluded. It is open if the peak may go on.
	start, end int
	open       bool
	// middle is the mean slot in which a job of the peak arrived. Unlike the first job, it hardly depends
	// on chance. That of an open peak follows from the length of the others.
	middle float64
}

// outlook is what the calendar knows of a pool.
type outlook struct {
	peaks []peak
	// period is the time from one peak to the next, in slots; 0 if it isn't clear.
	period float64
	// height is the mean load of the peaks, and length their mean length in slots.
	height Load
	length float64
}

// sizes returns how many jobs arrived in each slot from the first to the last one, smoothed over a second,
// since a few jobs per second are no peak where they happen to arrive together. Jobs are counted, not their
// work: what a job is expected to take changes once its queue has run some.
func (h *history) sizes(first, last time.Duration) []float64 {
	sizes := make([]float64, max(last-first+1, 0))
	for i := range sizes {
		from, to := max(first, first+time.Duration(i)-1), min(last, first+time.Duration(i)+2)
		for n := from; n <= to; n++ {
			sizes[i] += float64(h.jobs[n%calendarSlots]) / float64(to-from+1)
		}
	}
	return sizes
}

// peakThreshold divides sizes into those of peaks and those of pauses, by the mean of both means. It returns
// false if there are no two clearly different kinds.
func peakThreshold(sizes []float64) (float64, bool) {
	threshold, low, high := 0.0, 0.0, 0.0
	for round := range thresholdRounds {
		var sums [2]float64
		var counts [2]float64
		for _, size := range sizes {
			kind := 0
			if round > 0 && size > threshold {
				kind = 1
			}
			sums[kind] += size
			counts[kind]++
		}
		if round == 0 {
			threshold = sums[0] / max(counts[0], 1)
			continue
		}
		if counts[0] == 0 || counts[1] == 0 {
			return 0, false
		}
		low, high = sums[0]/counts[0], sums[1]/counts[1]
		threshold = (low + high) / 2
	}
	return threshold, high > 0 && high >= peakRatio*low
}

// findPeaks returns the peaks that begin after a pause.
func findPeaks(sizes []float64) []peak {
	threshold, distinct := peakThreshold(sizes)
	if !distinct {
		return nil
	}
	var peaks []peak
	pause := 0
	for i, size := range sizes {
		if size <= threshold {
			pause++
			continue
		}
		switch {
		case pause >= minPauseSlots:
			peaks = append(peaks, peak{start: i, end: i + 1})
		case len(peaks) > 0:
			peaks[len(peaks)-1].end = i + 1
		}
		pause = 0
	}
	for i := range peaks {
		peaks[i].open = len(sizes)-peaks[i].end < minPauseSlots
	}
	return slices.DeleteFunc(peaks, func(p peak) bool { return !p.open && p.end-p.start < minPeakSlots })
}

// evaluate computes the outlook of each pool, once per slot.
func (c *Calendar) evaluate(now time.Duration) {
	slot := now / calendarSlot
	if slot == c.evaluatedAt {
		return
	}
	c.evaluatedAt = slot
	clear(c.outlooks)
	first := max(c.since/calendarSlot, slot-calendarSlots+1)
	for pool, h := range c.pools {
		h.advance(slot)
		o := &outlook{peaks: findPeaks(h.sizes(first, slot-1))}
		o.measure(h, first)
		o.period = regularGap(o.ended())
		c.outlooks[pool] = o
	}
	c.shareOnePeriod()
}

// measure computes the height and the length of the peaks that have ended, and the middle of each peak.
func (o *outlook) measure(h *history, first time.Duration) {
	var work Load
	slots, ended := 0, 0
	for k := range o.peaks {
		p := &o.peaks[k]
		if p.open {
			continue
		}
		jobs, sum := 0.0, 0.0
		for i := p.start; i < p.end; i++ {
			n := (first + time.Duration(i)) % calendarSlots
			work = work.Plus(h.work[n])
			jobs += float64(h.jobs[n])
			sum += float64(h.jobs[n]) * (float64(i) + 0.5)
		}
		p.middle = sum / max(jobs, 1)
		slots += p.end - p.start
		ended++
	}
	if ended == 0 {
		return
	}
	o.height = work.Times(1 / (float64(slots) * calendarSlot.Seconds()))
	o.length = float64(slots) / float64(ended)
	for k := range o.peaks {
		if p := &o.peaks[k]; p.open {
			p.middle = float64(p.start) + o.length/2
		}
	}
}

// ended returns the peaks that have ended.
func (o *outlook) ended() []peak {
	if n := len(o.peaks); n > 0 && o.peaks[n-1].open {
		return o.peaks[:n-1]
	}
	return o.peaks
}

// regularGap returns the mean time between successive peaks; 0 if the times differ.
func regularGap(peaks []peak) float64 {
	if len(peaks) < 2 {
		return 0
	}
	mean := (peaks[len(peaks)-1].middle - peaks[0].middle) / float64(len(peaks)-1)
	for i := range peaks[1:] {
		if math.Abs(peaks[i+1].middle-peaks[i].middle-mean) > periodTolerance {
			return 0
		}
	}
	if mean < minPeriodSlots {
		return 0
	}
	return mean
}

// shareOnePeriod decides whose period is clear. Equal times between minOwnPeaks peaks of a pool are clear, and
// so is one that peaks of another pool have, too. Where peaks come in turn, the period of the pools
// is the same, so that one peak of a pool is enough if at least two pools have the period, none has another one,
// and the peaks overlap little. Surges at random times have equal times between them more often.
func (c *Calendar) shareOnePeriod() {
	sum, pools := 0.0, 0.0
	for _, o := range c.outlooks {
		if o.period > 0 {
			sum += o.period
			pools++
		}
	}
	mean, agreed := sum/max(pools, 1), pools >= 2 && c.inTurn()
	for _, o := range c.outlooks {
		switch {
		case o.period > 0:
			agreed = agreed && math.Abs(o.period-mean) <= periodTolerance
		default:
			agreed = agreed && len(o.ended()) < 2
		}
	}
	for _, o := range c.outlooks {
		switch {
		case agreed && len(o.ended()) > 0:
			o.period = mean
		case len(o.ended()) < minOwnPeaks:
			o.period = 0
		}
	}
}

// inTurn reports whether no peak overlaps the one before by more than the shortest length of a peak.
func (c *Calendar) inTurn() bool {
	var all []peak
	for _, o := range c.outlooks {
		all = append(all, o.peaks...)
	}
	slices.SortFunc(all, func(a, b peak) int { return a.start - b.start })
	for i := range len(all) - 1 {
		if all[i].end-all[i+1].start > minPeakSlots {
			return false
		}
	}
	return true
}

// Outlook is the forecast of a pool whose peaks come regularly.
type Outlook struct {
	// Period is the time between the begins of two peaks, and NextPeak that until the next one.
	Period, NextPeak time.Duration
	// Height is the load of a peak.
	Height Load
	// InPeak is set while a peak is expected to go on.
	InPeak bool
}

// Outlook returns the forecast of a pool, and false if its peaks have no clear period or the next one has
// not come when it was expected.
func (c *Calendar) Outlook(pool string, now time.Duration) (Outlook, bool) {
	if c == nil {
		return Outlook{}, false
	}
	c.evaluate(now)
	o := c.outlooks[pool]
	if o == nil || o.period == 0 || o.length == 0 {
		return Outlook{}, false
	}
	first := max(c.since/calendarSlot, now/calendarSlot-calendarSlots+1)
	begin := first*calendarSlot + slots(o.newestMiddle()-o.length/2)
	period, length := slots(o.period), slots(o.length)
	next := begin + period - now
	if next < -(periodTolerance+1)*calendarSlot {
		return Outlook{}, false
	}
	return Outlook{Period: period, NextPeak: max(next, 0), Height: o.height, InPeak: now < begin+length}, true
}

// Near reports whether instances are to be ordered now for the next peak.
func (o *Outlook) Near() bool { return o.NextPeak <= prepareAhead }

// newestMiddle returns the middle of the newest peak that follows from all peaks.
func (o *outlook) newestMiddle() float64 {
	if newest := len(o.peaks) - 1; o.peaks[newest].open {
		return o.peaks[newest].middle
	}
	sum := 0.0
	for k, p := range o.peaks {
		sum += p.middle + float64(len(o.peaks)-1-k)*o.period
	}
	return sum / float64(len(o.peaks))
}

// slots returns the duration of a number of slots.
func slots(n float64) time.Duration { return time.Duration(n * float64(calendarSlot)) }
