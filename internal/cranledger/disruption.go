package cranledger

import (
	"slices"
	"sync"
	"time"
)

// Disruptions records which machines were disrupted and when. It is safe for concurrent use.
type Disruptions struct {
	mu    sync.Mutex
	spans []*span
}

// span is the time of one disruption. to is zero while it lasts.
type span struct {
	subject  string
	from, to time.Time
}

// Begin records that a disruption of a machine, or of a part of the platform, begins. The
// returned function records its end.
func (d *Disruptions) Begin(subject string, at time.Time) (end func(at time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &span{subject: subject, from: at}
	d.spans = append(d.spans, s)
	return func(at time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		s.to = at
	}
}

// EndAll records that no disruption lasts any longer.
func (d *Disruptions) EndAll(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if s.to.IsZero() {
			s.to = at
		}
	}
}

// Any reports whether any of the subjects was disrupted at a time between from and to. Without
// subjects it reports whether anything was.
func (d *Disruptions) Any(from, to time.Time, subjects ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans, func(s *span) bool {
		return (len(subjects) == 0 || slices.Contains(subjects, s.subject)) &&
			!s.from.After(to) && (s.to.IsZero() || !s.to.Before(from))
	})
}
