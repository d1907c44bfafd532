package crandemo

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
)

// timeline tells from the platform's ledger where each instance was.
type timeline struct {
	// first holds the pool of each instance before the first action.
	first map[string]string
	// actions holds the ledger's entries of each instance, in order.
	actions map[string][]cranstandin.LedgerEntry
}

func newTimeline(instances []cranplatform.Instance, actions []cranstandin.LedgerEntry) timeline {
	t := timeline{first: map[string]string{}, actions: map[string][]cranstandin.LedgerEntry{}}
	for _, in := range instances {
		t.first[in.ID] = in.Pool
	}
	for _, a := range actions {
		if _, ok := t.first[a.Instance]; ok {
			t.actions[a.Instance] = append(t.actions[a.Instance], a)
		}
	}
	return t
}

// planned reports whether an entry of the ledger is a planned action.
func planned(a cranstandin.LedgerEntry) bool {
	return a.Kind == cranplatform.ActionReboot || a.Kind == cranplatform.ActionReassign
}

// pool returns the pool that an instance belongs to at a moment. A
// reassignment takes effect when it is complete.
func (t timeline) pool(instance string, atMs int64) string {
	pool := t.first[instance]
	for _, a := range t.actions[instance] {
		if a.Kind == cranplatform.ActionReassign && a.DoneMs != 0 && a.DoneMs <= atMs {
			pool = a.Pool
		}
	}
	return pool
}

// available reports whether no action is under way on an instance at a moment
// and the platform has not taken it away.
func (t timeline) available(instance string, atMs int64) bool {
	for _, a := range t.actions[instance] {
		over := planned(a) && a.DoneMs != 0 && a.DoneMs <= atMs
		if a.AtMs <= atMs && !over {
			return false
		}
	}
	return true
}

// count returns how many instances of a pool are available at a moment.
func (t timeline) count(pool string, atMs int64) int {
	n := 0
	for id := range t.first {
		if t.pool(id, atMs) == pool && t.available(id, atMs) {
			n++
		}
	}
	return n
}

// stoppedAt reports whether a planned action was under way on an instance at
// a moment.
func (t timeline) stoppedAt(instance string, at time.Time) bool {
	ms := at.UnixMilli()
	for _, a := range t.actions[instance] {
		if planned(a) && a.AtMs <= ms && (a.DoneMs == 0 || ms <= a.DoneMs) {
			return true
		}
	}
	return false
}
