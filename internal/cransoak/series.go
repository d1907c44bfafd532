package cransoak

import (
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
)

const (
	// maxSeries is the largest number of series of faults that overlap, and maxSeriesInterval
	// the longest time between their beginnings. minSeriesTime and maxSeriesTime bound how long
	// each lasts, and calmTime is the time without faults after the last of them.
	maxSeries         = 3
	maxSeriesInterval = 2 * time.Second
	minSeriesTime     = 2 * time.Second
	maxSeriesTime     = 6 * time.Second
	calmTime          = 9 * time.Second
	// maxRestartInterval is the longest time between two restarts of a series.
	maxRestartInterval = 1300 * time.Millisecond
	// storeDelay is the time that a slow store adds to each call.
	storeDelay = 120 * time.Millisecond
	// lastSilence is the time for which the store is silent around the end of the traffic.
	lastSilence = 6 * time.Second
	// topicJobs is the topic whose partitions hold the submissions and the progress of shards.
	topicJobs = "keyed.cranberrypick"
	// topicDigest is that of the digest.
	topicDigest = topicJobs + "-digest"
)

// runSeries injects series of faults, which overlap, until submitCtx ends.
func (s *soak) runSeries(ctx, submitCtx context.Context) {
	end := time.Now().Add(s.Duration)
	if s.random.IntN(2) == 0 {
		s.report.Faults++
		part := s.random.Uint64()
		s.group.Go(func() {
			cranpause.Sleep(ctx, time.Until(end.Add(-lastSilence/2)))
			s.silenceStore(ctx, part, lastSilence)
		})
	}
	for submitCtx.Err() == nil {
		var overlapping sync.WaitGroup
		for i := range 1 + s.random.IntN(maxSeries) {
			cranpause.Sleep(submitCtx, time.Duration(s.random.Int64N(int64(maxSeriesInterval))))
			s.report.Faults++
			random := rand.New(rand.NewPCG(s.random.Uint64(), 0))
			duration := minSeriesTime + time.Duration(random.Int64N(int64(maxSeriesTime-minSeriesTime)))
			kind := random.IntN(seriesKinds)
			if i == 0 && random.IntN(2) == 0 {
				kind = random.IntN(2)
			}
			overlapping.Go(func() { s.injectSeries(submitCtx, random, kind, duration) })
		}
		overlapping.Wait()
		cranpause.Sleep(submitCtx, calmTime)
	}
}

// seriesKinds is the number of kinds of series.
const seriesKinds = 8

// injectSeries injects one series of faults of a kind.
func (s *soak) injectSeries(ctx context.Context, random *rand.Rand, kind int, duration time.Duration) {
	large, small := s.entries[:s.Entries-s.Small], s.entries[s.Entries-s.Small:]
	switch kind {
	case 0:
		s.takeDown(ctx, large, 2*duration)
	case 1:
		s.cutOff(ctx, large, 2*duration)
	case 2:
		s.restartInTurn(ctx, random, pick(random, small, len(small)/2))
	case 3:
		s.takeDown(ctx, pick(random, small, len(small)/2), duration/4)
	case 4:
		s.silenceStore(ctx, random.Uint64(), duration)
	case 5:
		defer s.disrupt(storeSubject)()
		s.deployment.Store().SetDelay(storeDelay)
		cranpause.Sleep(ctx, duration)
		s.deployment.Store().SetDelay(0)
	case 6:
		s.takeDown(ctx, s.entries, duration/4)
	case 7:
		s.cutOff(ctx, pick(random, s.entries, s.Entries/2), duration)
	}
}

// pick returns some of the entry instances.
func pick(random *rand.Rand, from []*entry, count int) []*entry {
	picked := make([]*entry, 0, count)
	for _, i := range random.Perm(len(from))[:count] {
		picked = append(picked, from[i])
	}
	return picked
}

// takeDown kills processes and starts them after a time. It passes over those that another
// fault restarts.
func (s *soak) takeDown(ctx context.Context, entries []*entry, duration time.Duration) {
	var down []*entry
	for _, e := range entries {
		if e.lifecycle.TryLock() {
			defer e.lifecycle.Unlock()
			defer s.disrupt(e.name)()
			s.fail(e.terminate(syscall.SIGKILL))
			down = append(down, e)
		}
	}
	cranpause.Sleep(ctx, duration)
	for _, e := range down {
		s.fail(e.start())
	}
}

// restartInTurn restarts processes gracefully, one after the other.
func (s *soak) restartInTurn(ctx context.Context, random *rand.Rand, entries []*entry) {
	for _, e := range entries {
		if ctx.Err() != nil {
			return
		}
		if e.lifecycle.TryLock() {
			s.fail(s.restart(e, syscall.SIGTERM))
			e.lifecycle.Unlock()
		}
		cranpause.Sleep(ctx, time.Duration(random.Int64N(int64(maxRestartInterval))))
	}
}

// cutOff leaves the connections of entry instances to the store without any data.
func (s *soak) cutOff(ctx context.Context, entries []*entry, duration time.Duration) {
	for _, e := range entries {
		defer s.disrupt(e.name)()
		e.proxy.SetMode(Stall)
	}
	cranpause.Sleep(ctx, duration)
	for _, e := range entries {
		e.proxy.SetMode(Pass)
	}
}

// silenceStore makes about half of the partitions of the jobs' topic silent, as chosen by a
// number.
func (s *soak) silenceStore(ctx context.Context, choice uint64, duration time.Duration) {
	defer s.disrupt(storeSubject)()
	s.deployment.Store().SetSilent(func(topic, part string) bool {
		h := fnv.New64a()
		_, _ = h.Write([]byte(part))
		return topic == topicJobs && (h.Sum64()>>32^choice)%2 == 0
	})
	cranpause.Sleep(ctx, duration)
	s.deployment.Store().SetSilent(nil)
}

// fail records the error of a fault that runs beside others.
func (s *soak) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errs = append(s.errs, err)
}

// err returns the errors of all faults.
func (s *soak) err() error { return errors.Join(s.errs...) }
