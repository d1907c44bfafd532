package cranstandin

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// member is one instance and its recent past; the fleet's mutex guards it.
type member struct {
	// versions holds the instance's recent states, oldest first and at least
	// one; at most maxVersions.
	versions []version
	// pruned tells that older versions were dropped.
	pruned bool
	// generation grows whenever the instance is added again.
	generation int
	// action is the id of the action under way, or empty.
	action string
	// removing tells that the instance is about to be gone.
	removing   bool
	controller Controller
}

// version is an instance's state from a moment on.
type version struct {
	at       time.Time
	instance cranplatform.Instance
}

// current returns the newest state.
func (m *member) current() cranplatform.Instance {
	return m.versions[len(m.versions)-1].instance
}

// set makes a state the newest one.
func (m *member) set(at time.Time, instance cranplatform.Instance) {
	m.versions = append(m.versions, version{at: at, instance: instance})
	if len(m.versions) > maxVersions {
		m.versions = append([]version(nil), m.versions[1:]...)
		m.pruned = true
	}
}

// setPhase changes the newest state's phase.
func (m *member) setPhase(at time.Time, phase cranplatform.Phase) {
	instance := m.current()
	instance.Phase = phase
	m.set(at, instance)
}

// seen returns the state at a moment in the past, if there was one.
func (m *member) seen(at time.Time) (cranplatform.Instance, bool) {
	for n := len(m.versions) - 1; n >= 0; n-- {
		if !m.versions[n].at.After(at) {
			return m.versions[n].instance, true
		}
	}
	return m.versions[0].instance, m.pruned
}

// checkInstance refuses an instance that can't be listed.
func checkInstance(i cranplatform.Instance) error {
	switch {
	case i.ID == "" || len(i.ID) > maxInstanceName:
		return cranfault.New(cranfault.Invalid, "use an id of 1 to 200 bytes", "%.40q can't name an instance", i.ID)
	case i.Role != RoleTarget && i.Role != RoleEntry:
		return cranfault.New(cranfault.Invalid, `use "target" or "entry"`, "instance %s has the role %.40q", i.ID, i.Role)
	case i.Slots < 0 || i.Connections < 0 || i.Boots < 0:
		return cranfault.New(cranfault.Invalid, "use zero or more", "instance %s has a negative size", i.ID)
	}
	return nil
}
