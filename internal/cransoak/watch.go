package cransoak

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranledger"
	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

const (
	// watchInterval is the interval at which the bounds in time are checked.
	watchInterval = 100 * time.Millisecond
	// maxWatchLag is how much later than that a check may come. Later ones show that the
	// machine on which the soak runs is overloaded.
	maxWatchLag = 150 * time.Millisecond
	// contactTime is the time without disruptions after which a bound in time holds again.
	contactTime = 4 * time.Second
	// maxListed is the largest number of violations of a kind that the report lists.
	maxListed = 5
	// timeFormat is the format of times in the logs of the processes.
	timeFormat = "15:04:05.000"
)

// cancelBound returns the time within which a cancellation must be in effect.
func (s *soak) cancelBound() time.Duration { return cmp.Or(s.CancelBound, standin.CancelBound) }

// watch checks the bounds in time until ctx ends. Jobs that stand still count if nothing was
// disrupted for the time that they stood and contactTime before it.
func (s *soak) watch(ctx context.Context) {
	seen := 0
	for previous := time.Now(); ctx.Err() == nil; {
		cranpause.Sleep(ctx, watchInterval)
		now := time.Now()
		if now.Sub(previous) > watchInterval+maxWatchLag {
			s.disruptions.Begin(soakSubject, previous)(now)
			s.mu.Lock()
			s.report.Overloads++
			s.mu.Unlock()
		}
		previous = now
		late := s.deployment.Ledger().LateStarts(s.cancelBound(), seen)
		seen += len(late)
		for _, l := range late {
			s.checkLateStart(l)
		}
		disrupted := s.disruptions.Any(now.Add(-cranledger.StandStillTime-contactTime), now)
		for _, still := range s.deployment.Ledger().StandStills(now) {
			s.recordStandStill(still, disrupted, now)
		}
	}
}

// recordStandStill counts a job that stands still, and adds a violation unless it is excused or
// many others were added before.
func (s *soak) recordStandStill(still cranledger.StandStill, excused bool, now time.Time) {
	s.mu.Lock()
	wasExcused, known := s.standing[still.Job]
	if known && (excused || !wasExcused) {
		s.mu.Unlock()
		return
	}
	s.standing[still.Job] = excused
	if known {
		s.report.ExcusedStandStills--
	}
	if excused {
		s.report.ExcusedStandStills++
	} else {
		s.report.StandStills++
	}
	n := s.report.StandStills
	s.mu.Unlock()
	s.trace("%s %s stands still since %s", still.Job, still.Task, still.Since.UTC().Format(timeFormat))
	if !excused && n <= maxListed {
		s.addViolation("%s %s stands still: nothing of it runs since %s, seen %.1f s after the start of the soak",
			still.Job, still.Task, still.Since.UTC().Format(timeFormat), now.Sub(s.startedAt).Seconds())
	}
}

// checkLateStart adds a violation unless the entry instance that sent the start, the target or
// the store was disrupted shortly before. If the sender can't be found, all of them must have
// been undisturbed.
func (s *soak) checkLateStart(l cranledger.LateStart) {
	from := l.At.Add(-contactTime)
	excused := s.disruptions.Any(from, l.At, storeSubject, soakSubject, l.Target)
	sender := ""
	if !excused {
		if e := s.senderOf(l.Start); e != nil {
			sender = e.name
			excused = s.disruptions.Any(from, l.At, e.name)
		} else {
			excused = s.disruptions.Any(from, l.At)
		}
	}
	s.mu.Lock()
	s.report.LateStarts++
	if excused {
		s.report.ExcusedStarts++
	}
	n := s.report.LateStarts - s.report.ExcusedStarts
	s.mu.Unlock()
	if !excused && n <= maxListed {
		s.addViolation("%s starts on %s at %s, %v after its cancellation was acknowledged; sent by %q",
			l.Task, l.Target, l.At.UTC().Format(timeFormat), l.Delay().Round(time.Millisecond), sender)
	}
}

// senderOf returns the entry instance whose log says that it has placed a run; nil if there is
// none.
func (s *soak) senderOf(start cranledger.Start) *entry {
	event, number, task := []byte(`"event":1201,`), fmt.Appendf(nil, `"number":%d,`, start.Run), fmt.Appendf(nil, `"task":%q`, start.Task)
	for _, e := range s.entries {
		file, err := os.Open(e.logFile)
		if err != nil {
			continue
		}
		lines := bufio.NewScanner(file)
		found := false
		for !found && lines.Scan() {
			line := lines.Bytes()
			found = bytes.Contains(line, event) && bytes.Contains(line, number) && bytes.Contains(line, task)
		}
		_ = file.Close()
		if found {
			return e
		}
	}
	return nil
}
