package cranslotsim

import (
	"fmt"
	"math/rand/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranvirtual"
)

const (
	// failFastTime is the time after which a fail-fast target fails a request.
	failFastTime = 0.01
	// warmUpShare is the initial share of the duration in which the waits of arriving
	// requests aren't recorded.
	warmUpShare = 0.1
	// drainTime is the time after the end of arrivals in which requests may still start.
	drainTime = 200.0
)

// scheme decides where and when requests run.
type scheme interface {
	// start schedules the periodic work of the scheme. It is called once, before the first
	// event.
	start()
	// arrive is called when a request arrives at its entry.
	arrive(j *job)
}

// fleet holds what all schemes share: the clock, the targets and the counts.
type fleet struct {
	cranvirtual.Engine[float64]
	settings Settings
	random   *rand.Rand
	// inProgress counts the requests in progress on each target.
	inProgress []int
	result     Result
}

func newFleet(s Settings) *fleet {
	return &fleet{
		settings:   s,
		random:     rand.New(rand.NewPCG(s.Seed, 1)),
		inProgress: make([]int, s.Targets),
		result:     Result{Settings: s},
	}
}

// run starts an attempt of a request on a target and calls done at its end.
func (f *fleet) run(j *job, target int, done func(ok bool)) {
	f.result.Attempts++
	f.inProgress[target]++
	f.result.MaxInProgress = max(f.result.MaxInProgress, f.inProgress[target])
	ok, length := true, j.service
	if f.settings.FailFast && target == 0 {
		ok, length = false, failFastTime
	}
	if ok {
		f.recordStart(j)
	}
	f.Schedule(f.Now()+length, func() {
		f.inProgress[target]--
		done(ok)
	})
}

// recordStart records the wait of a request when its successful attempt starts.
func (f *fleet) recordStart(j *job) {
	f.result.Started++
	if j.arrival >= f.settings.Duration*warmUpShare {
		f.result.waits = append(f.result.waits, f.Now()-j.arrival)
	}
}

// countMessage counts a message between entries.
func (f *fleet) countMessage(bytes int) {
	f.result.Messages++
	f.result.Bytes += bytes
}

// targetID returns the id of a target.
func targetID(target int) string { return fmt.Sprintf("t%04d", target) }

// outlierDetector ejects targets whose requests failed several times in a row. Each entry has
// its own, which knows only that entry's requests.
type outlierDetector struct {
	// failures counts the failures in a row of each target.
	failures map[int]int
	// ejectedUntil holds the time until which each target is ejected.
	ejectedUntil map[int]float64
}

const (
	// maxFailuresInRow is the number of failures in a row after which a target is ejected
	// for ejectionTime.
	maxFailuresInRow = 3
	ejectionTime     = 5.0
)

func newOutlierDetector() *outlierDetector {
	return &outlierDetector{failures: make(map[int]int), ejectedUntil: make(map[int]float64)}
}

// observe records the result of a request on a target.
func (d *outlierDetector) observe(target int, ok bool, now float64) {
	if ok {
		d.failures[target] = 0
		return
	}
	d.failures[target]++
	if d.failures[target] >= maxFailuresInRow {
		d.ejectedUntil[target] = now + ejectionTime
	}
}

// ejected reports whether requests should not be sent to the target.
func (d *outlierDetector) ejected(target int, now float64) bool { return now < d.ejectedUntil[target] }
