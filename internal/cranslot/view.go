package cranslot

import "slices"

// Owner says which entry decides about a slot, and since when.
type Owner struct {
	// Entry is the member that is the home of the slot; empty if none is.
	Entry string `json:"entry"`
	// Epoch is the log offset at which the slot was assigned to Entry. It
	// grows with every assignment of the slot.
	Epoch uint64 `json:"epoch"`
}

// InstanceView is what the control state says about one instance.
type InstanceView struct {
	// ID names the instance.
	ID string
	// Group is the pool that the instance belongs to.
	Group string
	// Open says whether new work may be sent to the instance.
	Open bool
	// Owners holds the home of each slot; its length is the slot count.
	Owners []Owner
	// FirstEpoch is the epoch at which the instance got its first homes, or 0 if
	// that isn't known. A slot whose home epoch equals FirstEpoch never had
	// another home, so its home uses it without asking the other members. An
	// instance that left and came back must have FirstEpoch 0.
	FirstEpoch uint64
}

// View is what an entry knows of the control state at one log offset. It is
// immutable.
type View struct {
	epoch     uint64
	members   []string
	instances []InstanceView
}

// NewView returns a view of the control state as of the log offset epoch. A
// member is one incarnation of an entry: a restarted process is a new member.
func NewView(epoch uint64, members []string, instances []InstanceView) View {
	v := View{epoch: epoch, members: slices.Clone(members), instances: slices.Clone(instances)}
	slices.Sort(v.members)
	for i := range v.instances {
		v.instances[i].Owners = slices.Clone(v.instances[i].Owners)
	}
	return v
}

// Epoch returns the log offset that the view stands for.
func (v View) Epoch() uint64 { return v.epoch }

// Members returns the members in ascending order.
func (v View) Members() []string { return slices.Clone(v.members) }

// has reports whether the entry is a member.
func (v View) has(entry string) bool {
	_, found := slices.BinarySearch(v.members, entry)
	return found
}

// Instances returns the instances in the order given. The caller must not
// change their homes.
func (v View) Instances() []InstanceView { return slices.Clone(v.instances) }
