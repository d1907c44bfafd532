package cranslot

import "slices"

// Owner is the member that may use a slot or lend it, with the epoch of the
// assignment.
type Owner struct {
	// Entry is the member that owns the slot, or empty if there is none.
	Entry string `json:"entry"`
	// Epoch is the log offset at which the slot was assigned to Entry. It
	// increases with every assignment of the slot.
	Epoch uint64 `json:"epoch"`
}

// InstanceView is the part of the control state about one instance.
type InstanceView struct {
	// ID identifies the instance.
	ID string
	// Group is the pool that the instance belongs to.
	Group string
	// Open tells whether new requests may be sent to the instance.
	Open bool
	// Owners holds the owner of each slot; its length is the slot count.
	Owners []Owner
	// FirstEpoch is the epoch at which the instance got its first owners, or 0
	// if that isn't known. A slot whose owner has this epoch never had another
	// owner, so the owner uses it without querying the other members. For an
	// instance that was removed and added again, FirstEpoch must be 0.
	FirstEpoch uint64
}

// View is the part of the control state that a Broker needs, as of one log
// offset. It is immutable.
type View struct {
	epoch     uint64
	members   []string
	instances []InstanceView
}

// NewView returns a view of the control state as of the log offset epoch. A
// member is one incarnation of an entry instance: a restarted process is a new
// member.
func NewView(epoch uint64, members []string, instances []InstanceView) View {
	v := View{epoch: epoch, members: slices.Clone(members), instances: slices.Clone(instances)}
	slices.Sort(v.members)
	for i := range v.instances {
		v.instances[i].Owners = slices.Clone(v.instances[i].Owners)
	}
	return v
}

// Epoch returns the log offset of the view.
func (v View) Epoch() uint64 { return v.epoch }

// Members returns the members in ascending order.
func (v View) Members() []string { return slices.Clone(v.members) }

// isMember reports whether the incarnation is a member.
func (v View) isMember(entry string) bool {
	_, found := slices.BinarySearch(v.members, entry)
	return found
}

// Instances returns the instances in the order passed to NewView. The caller
// must not modify their owners.
func (v View) Instances() []InstanceView { return slices.Clone(v.instances) }
