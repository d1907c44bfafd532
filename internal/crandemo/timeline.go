package crandemo

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// timeline derives the pool and the availability of each instance at any time from the
// platform's ledger.
type timeline struct {
	// initialPools holds the pool of each instance before the first action.
	initialPools map[string]string
	// actions holds the ledger entries of each instance, in order.
	actions map[string][]cranstandin.LedgerEntry
}

func newTimeline(instances []cranplatform.Instance, actions []cranstandin.LedgerEntry) timeline {
	t := timeline{initialPools: map[string]string{}, actions: map[string][]cranstandin.LedgerEntry{}}
	for _, in := range instances {
		t.initialPools[in.ID] = in.Pool
	}
	for _, a := range actions {
		if _, ok := t.initialPools[a.Instance]; ok {
			t.actions[a.Instance] = append(t.actions[a.Instance], a)
		}
	}
	return t
}

// isPlanned reports whether a ledger entry is a planned action.
func isPlanned(a cranstandin.LedgerEntry) bool {
	return a.Kind == cranplatform.ActionReboot || a.Kind == cranplatform.ActionReassign
}

// pool returns the pool to which an instance belongs at a time. A
// reassignment takes effect when it is complete.
func (t timeline) pool(instance string, atMs int64) string {
	pool := t.initialPools[instance]
	for _, a := range t.actions[instance] {
		if a.Kind == cranplatform.ActionReassign && a.DoneMs != 0 && a.DoneMs <= atMs {
			pool = a.Pool
		}
	}
	return pool
}

// available reports whether, at a time, no action is in progress on an instance and the
// instance has not been lost.
func (t timeline) available(instance string, atMs int64) bool {
	for _, a := range t.actions[instance] {
		finished := isPlanned(a) && a.DoneMs != 0 && a.DoneMs <= atMs
		if a.AtMs <= atMs && !finished {
			return false
		}
	}
	return true
}

// count returns how many instances of a pool are available at a time.
func (t timeline) count(pool string, atMs int64) int {
	n := 0
	for id := range t.initialPools {
		if t.pool(id, atMs) == pool && t.available(id, atMs) {
			n++
		}
	}
	return n
}

// underPlannedAction reports whether a planned action was in progress on an instance at a
// time.
func (t timeline) underPlannedAction(instance string, at time.Time) bool {
	ms := at.UnixMilli()
	for _, a := range t.actions[instance] {
		if isPlanned(a) && a.AtMs <= ms && (a.DoneMs == 0 || ms <= a.DoneMs) {
			return true
		}
	}
	return false
}
