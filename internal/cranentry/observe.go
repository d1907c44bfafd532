package cranentry

import (
	"context"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
)

// reportInstances proposes observations of the instances whose entry in the
// platform's list differs from the control state.
func (rc *reconciler) reportInstances(ctx context.Context, input reconcileInput) {
	boundedCtx, cancel := context.WithTimeout(ctx, rc.entry.leaseDuration/4)
	defer cancel()
	list, err := rc.fleet.Instances(boundedCtx)
	if err != nil {
		return
	}
	var changed []cranstate.Observation
	seen := map[string]bool{}
	for _, listed := range list {
		seen[listed.ID] = true
		if listed.Role == roleEntry {
			rc.listedEntries[listed.ID] = true
		}
		if o, differs := rc.compare(input, listed); differs {
			changed = append(changed, o)
		}
	}
	changed = append(changed, rc.missingInstances(input, seen)...)
	for len(changed) > 0 && rc.holdsLease(ctx) {
		n := min(len(changed), maxObservationsPerRecord)
		rc.submit(ctx, cranstate.InstancesObserved{Instances: changed[:n]})
		changed = changed[n:]
	}
}

// compare returns the observation of a listed instance and reports whether it
// differs from the control state.
func (rc *reconciler) compare(input reconcileInput, listed cranplatform.Instance) (cranstate.Observation, bool) {
	o := cranstate.Observation{
		ID: listed.ID, Address: listed.Address, Domain: listed.Domain, DataCentre: listed.DataCentre, Pool: listed.Pool,
		Phase: listed.Phase, Boots: listed.Boots, Slots: listed.Slots, Connections: listed.Connections,
		Entry: listed.Role == roleEntry,
	}
	if o.Entry {
		present, known := input.entries[o.ID]
		return o, known && present == (o.Phase == cranplatform.PhaseGone)
	}
	t, known := input.targets[o.ID]
	if !known {
		return o, o.Phase != cranplatform.PhaseGone
	}
	leaving := o.Phase == cranplatform.PhaseLeaving && t.phase != cranstate.PhaseStopping
	return o, o.Phase == cranplatform.PhaseGone || o.Boots > t.boots || o.Address != t.address ||
		o.Pool != t.reportedPool || o.Slots != t.slots || o.Connections != t.connections ||
		leaving != (t.phase == cranstate.PhaseLeaving)
}

// missingInstances returns observations of the instances that are no longer in
// the platform's list. An entry instance counts as missing only if it has been
// listed before, since the platform may never have listed it.
func (rc *reconciler) missingInstances(input reconcileInput, seen map[string]bool) []cranstate.Observation {
	var list []cranstate.Observation
	for id := range input.targets {
		if !seen[id] {
			list = append(list, cranstate.Observation{ID: id, Phase: cranplatform.PhaseGone})
		}
	}
	for id, present := range input.entries {
		if !seen[id] && present && rc.listedEntries[id] {
			list = append(list, cranstate.Observation{ID: id, Phase: cranplatform.PhaseGone, Entry: true})
		}
	}
	return list
}
