package cranslotsim

import (
	"fmt"
	"math/rand/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranvirtual"
)

const (
	// failAfter is the time after which a fail-fast target fails a request.
	failAfter = 0.01
	// warmUp is the share of the duration whose requests aren't counted.
	warmUp = 0.1
	// drain is the time after the last arrival in which requests may start.
	drain = 200.0
)

// scheme decides where and when requests run.
type scheme interface {
	// start is called once before the first event.
	start()
	// arrive is called when a request arrives at its entry.
	arrive(j *job)
}

// fleet is what all schemes share: the clock, the targets and the counts.
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

// run starts a request on a target and calls done at its end.
func (f *fleet) run(j *job, target int, done func(ok bool)) {
	f.result.Attempts++
	f.inProgress[target]++
	f.result.MaxInProgress = max(f.result.MaxInProgress, f.inProgress[target])
	ok, length := true, j.service
	if f.settings.FailFast && target == 0 {
		ok, length = false, failAfter
	}
	if ok {
		f.started(j)
	}
	f.Schedule(f.Now()+length, func() {
		f.inProgress[target]--
		done(ok)
	})
}

// started notes the wait of a request whose last attempt starts.
func (f *fleet) started(j *job) {
	f.result.Started++
	if j.arrival >= f.settings.Duration*warmUp {
		f.result.waits = append(f.result.waits, f.Now()-j.arrival)
	}
}

// sent notes a message between entries.
func (f *fleet) sent(bytes int) {
	f.result.Messages++
	f.result.Bytes += bytes
}

// targetID returns the name of a target.
func targetID(target int) string { return fmt.Sprintf("t%04d", target) }

// judge tells an entry which targets to avoid, by the outcomes that it saw.
type judge struct {
	failures map[int]int
	until    map[int]float64
}

const (
	// judgeFailures is the number of failures in a row after which a target
	// is avoided, for judgeTime.
	judgeFailures = 3
	judgeTime     = 5.0
)

func newJudge() *judge {
	return &judge{failures: make(map[int]int), until: make(map[int]float64)}
}

func (j *judge) seen(target int, ok bool, now float64) {
	if ok {
		j.failures[target] = 0
		return
	}
	j.failures[target]++
	if j.failures[target] >= judgeFailures {
		j.until[target] = now + judgeTime
	}
}

func (j *judge) avoids(target int, now float64) bool { return now < j.until[target] }
