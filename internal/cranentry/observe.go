package cranentry

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// observe reports the lines of the platform's list that differ from the
// state.
func (p *performer) observe(ctx context.Context, w work) {
	bounded, cancel := context.WithTimeout(ctx, p.e.lease/4)
	defer cancel()
	list, err := p.fleet.Instances(bounded)
	if err != nil {
		return
	}
	var changed []cranstate.Observation
	seen := map[string]bool{}
	for _, line := range list {
		seen[line.ID] = true
		if line.Role == roleEntry {
			p.listed[line.ID] = true
		}
		if o, differs := p.compare(w, line); differs {
			changed = append(changed, o)
		}
	}
	changed = append(changed, p.missing(w, seen)...)
	for len(changed) > 0 && p.holds(ctx) {
		n := min(len(changed), maxObserved)
		p.submit(ctx, cranstate.InstancesObserved{Instances: changed[:n]})
		changed = changed[n:]
	}
}

// compare turns a line into an observation and reports whether it is news.
func (p *performer) compare(w work, line cranplatform.Instance) (cranstate.Observation, bool) {
	o := cranstate.Observation{
		ID: line.ID, Address: line.Address, Domain: line.Domain, DataCentre: line.DataCentre, Pool: line.Pool,
		Phase: line.Phase, Boots: line.Boots, Slots: line.Slots, Connections: line.Connections,
		Entry: line.Role == roleEntry,
	}
	if o.Entry {
		present, known := w.entries[o.ID]
		return o, known && present == (o.Phase == cranplatform.PhaseGone)
	}
	t, known := w.targets[o.ID]
	if !known {
		return o, o.Phase != cranplatform.PhaseGone
	}
	leaving := o.Phase == cranplatform.PhaseLeaving && t.phase != cranstate.PhaseStopping
	return o, o.Phase == cranplatform.PhaseGone || o.Boots > t.boots || o.Address != t.address ||
		o.Pool != t.hint || o.Slots != t.slots || o.Connections != t.connections ||
		leaving != (t.phase == cranstate.PhaseLeaving)
}

// missing reports instances that the list no longer has. An entry instance
// that it never had was not taken away.
func (p *performer) missing(w work, seen map[string]bool) []cranstate.Observation {
	var list []cranstate.Observation
	for id := range w.targets {
		if !seen[id] {
			list = append(list, cranstate.Observation{ID: id, Phase: cranplatform.PhaseGone})
		}
	}
	for id, present := range w.entries {
		if !seen[id] && present && p.listed[id] {
			list = append(list, cranstate.Observation{ID: id, Phase: cranplatform.PhaseGone, Entry: true})
		}
	}
	return list
}
