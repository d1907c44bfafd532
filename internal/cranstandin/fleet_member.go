package cranstandin

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// member is one instance with its recent states. The fleet's mutex guards it.
type member struct {
	// versions holds the instance's recent states, oldest first. It has at
	// least one and at most maxVersions elements.
	versions []version
	// pruned is set if older versions were dropped.
	pruned bool
	// generation is incremented whenever the instance is added, so that a
	// scheduled stop or removal doesn't affect an instance that was added again.
	generation int
	// action is the id of the action in progress, or empty.
	action string
	// removing is set while the instance is leaving because of Fleet.Remove.
	removing   bool
	controller Controller
}

// version is the state of an instance from a point in time on.
type version struct {
	at       time.Time
	instance cranplatform.Instance
}

// current returns the newest state.
func (m *member) current() cranplatform.Instance {
	return m.versions[len(m.versions)-1].instance
}

// set adds a state as the newest one.
func (m *member) set(at time.Time, instance cranplatform.Instance) {
	m.versions = append(m.versions, version{at: at, instance: instance})
	if len(m.versions) > maxVersions {
		m.versions = append([]version(nil), m.versions[1:]...)
		m.pruned = true
	}
}

// setPhase adds a state that differs from the newest one in its phase.
func (m *member) setPhase(at time.Time, phase cranplatform.Phase) {
	instance := m.current()
	instance.Phase = phase
	m.set(at, instance)
}

// stateAt returns the state at a point in time, and false if the instance didn't
// exist then. If the version of that time was dropped, it returns the oldest one
// that is kept.
func (m *member) stateAt(at time.Time) (cranplatform.Instance, bool) {
	for n := len(m.versions) - 1; n >= 0; n-- {
		if !m.versions[n].at.After(at) {
			return m.versions[n].instance, true
		}
	}
	return m.versions[0].instance, m.pruned
}

// checkInstance refuses an instance with an invalid id, role, slot count,
// connection count or boot count.
func checkInstance(i cranplatform.Instance) error {
	switch {
	case i.ID == "" || len(i.ID) > maxIDBytes:
		return cranfault.New(cranfault.Invalid, "use an id of 1 to 200 bytes", "%.40q isn't a valid instance id", i.ID)
	case i.Role != RoleTarget && i.Role != RoleEntry:
		return cranfault.New(cranfault.Invalid, `use "target" or "entry"`, "instance %s has the unknown role %.40q", i.ID, i.Role)
	case i.Slots < 0 || i.Connections < 0 || i.Boots < 0:
		return cranfault.New(cranfault.Invalid, "use zero or more", "instance %s has a negative number of slots, connections or boots", i.ID)
	}
	return nil
}
