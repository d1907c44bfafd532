package cranslot

// holdState states whether this member may use a slot.
type holdState uint8

const (
	// holdNone means that this member must not use the slot.
	holdNone holdState = iota
	// holdIdle means that this member may use the slot and doesn't.
	holdIdle
	// holdBusy means that this member has a request in progress on the slot.
	holdBusy
)

// ownershipState states whether this member owns a slot, and where the slot is.
type ownershipState uint8

const (
	// notOwned means that this member isn't the owner.
	notOwned ownershipState = iota
	// ownedRecovering means that this member became the owner and awaits the
	// answers of members that may hold the slot under an older epoch.
	ownedRecovering
	// ownedHere means that the owner has the slot itself, idle or busy.
	ownedHere
	// ownedLent means that the slot is lent, and the borrower has it or a loan
	// or return is under way.
	ownedLent
)

// slotState is the state of one slot at this member.
type slotState struct {
	// owner is the slot's owner in the view. It is empty if the view doesn't
	// have the slot.
	owner Owner
	// minEpoch is the lowest epoch under which this member may accept the slot.
	// It never decreases.
	minEpoch uint64
	// querier is the member to notify when the slot, held under an epoch below
	// minEpoch, is no longer held.
	querier string

	hold holdState
	// holdEpoch is the epoch under which the slot is or was last held.
	holdEpoch uint64
	// serial is the serial number of the last Slot handed out for it.
	serial uint64

	ownership ownershipState
	// loanID is the ID of the last loan under owner.Epoch: the last one made if
	// this member is the owner, and the last one accepted otherwise. It
	// increases under one epoch.
	loanID   uint64
	borrower string
	// unanswered holds the members whose answer is awaited during recovery. It
	// includes this member while it has a request in progress on the slot under
	// an older epoch.
	unanswered []string
	// retries counts the retries of a loan or query. It stops at the longest
	// interval.
	retries uint8
	// holdVersion and ownershipVersion count the changes of hold and ownership.
	// A change cancels the timers set before.
	holdVersion      uint64
	ownershipVersion uint64
}

// current reports whether the slot is held under its current epoch.
func (s *slotState) current() bool {
	return s.hold != holdNone && s.holdEpoch == s.owner.Epoch && s.holdEpoch >= s.minEpoch
}

// borrowedIdle reports whether the slot is borrowed and idle.
func (s *slotState) borrowedIdle() bool {
	return s.hold == holdIdle && s.ownership == notOwned
}

// lendable reports whether the slot is owned and idle at this member.
func (s *slotState) lendable() bool {
	return s.hold == holdIdle && s.ownership == ownedHere
}

// instanceState is the state of one instance at this member.
type instanceState struct {
	id    string
	group string
	// open tells whether new requests may be sent to the instance.
	open bool
	// inView tells whether the instance is in the view.
	inView bool
	// avoided tells whether the last request that could use the instance
	// avoided it. Its slots aren't lent then, since a peer would avoid it too.
	avoided bool
	// busy is the number of slots in use at this member.
	busy int
	// idle is the number of slots that this member may use and doesn't.
	idle int
	// lendable is the number of idle slots that this member owns.
	lendable int
	slots    []slotState
}

// eligible reports whether requests can use a free slot of the instance.
func (in *instanceState) eligible() bool { return in.open && !in.avoided }

// setHold changes the hold state of a slot and updates the counts.
func (in *instanceState) setHold(index int, hold holdState) {
	in.count(index, -1)
	in.slots[index].hold = hold
	in.slots[index].holdVersion++
	in.count(index, 1)
}

// setOwnership changes the ownership state of a slot and updates the counts.
func (in *instanceState) setOwnership(index int, ownership ownershipState) {
	in.count(index, -1)
	in.slots[index].ownership = ownership
	in.slots[index].ownershipVersion++
	in.count(index, 1)
}

// count adds n to the counts that include the slot in its current state.
func (in *instanceState) count(index, n int) {
	s := &in.slots[index]
	switch s.hold {
	case holdBusy:
		in.busy += n
	case holdIdle:
		in.idle += n
	}
	if s.lendable() {
		in.lendable += n
	}
}
