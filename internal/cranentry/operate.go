package cranentry

import (
	"context"
	"strconv"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// Status returns the status of the fleet as this entry knows it.
func (e *Entry) Status(ctx context.Context) (cranadmin.Status, error) {
	s, err := read(ctx, e.control, cranadmin.StatusOf)
	if err != nil {
		return s, err
	}
	s.Entry = e.incarnation
	s.Ready = true
	if fault := e.Ready(); fault != nil {
		s.Ready = false
		s.NotReady = fault.Error()
	}
	return s, nil
}

// Explain returns the blockers of a wave, if subject is its number, or else of the
// instance with that name. If subject is empty, it returns all blockers.
func (e *Entry) Explain(ctx context.Context, subject string) ([]cranstate.Blocker, error) {
	return read(ctx, e.control, func(s *cranstate.State) []cranstate.Blocker {
		if subject == "" {
			return s.Explain()
		}
		if wave, err := strconv.ParseUint(subject, 10, 64); err == nil {
			return s.ExplainWave(wave)
		}
		return s.ExplainInstance(subject)
	})
}
