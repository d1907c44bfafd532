package cranslot

// holdState says what a slot is to this member as a user.
type holdState uint8

const (
	// holdNone: the slot may not be used here.
	holdNone holdState = iota
	// holdIdle: the slot may be used here and isn't.
	holdIdle
	// holdBusy: a request is in progress on the slot from here.
	holdBusy
)

// ledgerState says what a slot is to this member as its home.
type ledgerState uint8

const (
	// ledgerNone: this member isn't the home.
	ledgerNone ledgerState = iota
	// ledgerRecovering: this member became the home and waits for members
	// that may hold the slot under an older epoch.
	ledgerRecovering
	// ledgerOwn: the slot is here, idle or busy.
	ledgerOwn
	// ledgerLent: the slot is with the borrower, or on the way.
	ledgerLent
)

// slotState is what the table knows of one slot.
type slotState struct {
	// home is that of the view, and empty if the view doesn't have the slot.
	home Owner
	// floor is the lowest epoch under which this member may take the slot.
	// It never falls.
	floor uint64
	// querier is the member to tell when the slot, held under an epoch below
	// floor, is no longer held.
	querier string

	hold holdState
	// holdEpoch is the epoch under which the slot is or was last held.
	holdEpoch uint64
	// serial is that of the last Slot handed out for it.
	serial uint64

	ledger ledgerState
	// loan is the id of the last loan under home.Epoch: at the home the last
	// one made, elsewhere the last one accepted. It grows under one epoch.
	loan     uint64
	borrower string
	// pending are the members whose answer is missing while recovering; this
	// member is one of them while it has a request in progress on the slot
	// under an older epoch.
	pending []string
	// repeats counts the repeats of a loan or query, up to the longest
	// interval.
	repeats uint8
	// holdTurn and ledgerTurn count the changes of hold and of ledger, which
	// void older timers.
	holdTurn   uint64
	ledgerTurn uint64
}

// current reports whether the slot is held under the epoch in force.
func (s *slotState) current() bool {
	return s.hold != holdNone && s.holdEpoch == s.home.Epoch && s.holdEpoch >= s.floor
}

// borrowedIdle reports whether the slot is borrowed and not in use.
func (s *slotState) borrowedIdle() bool {
	return s.hold == holdIdle && s.ledger == ledgerNone
}

// lendable reports whether the slot is at its home and not in use.
func (s *slotState) lendable() bool {
	return s.hold == holdIdle && s.ledger == ledgerOwn
}

// instanceState is what the table knows of one instance.
type instanceState struct {
	id    string
	group string
	// open says whether new work may be sent to the instance.
	open bool
	// listed says whether the instance is in the view.
	listed bool
	// avoided says whether the last request that could have gone to the
	// instance avoided it; a peer would too, so its slots aren't lent.
	avoided bool
	// busy is the number of slots in use here.
	busy int
	// idle is the number of slots that may be used here and aren't.
	idle int
	// lendable is the number of idle slots whose home is here.
	lendable int
	slots    []slotState
}

// useful reports whether a free slot of the instance is of use to requests.
func (in *instanceState) useful() bool { return in.open && !in.avoided }

// setHold changes how a slot is held here and keeps the counts in step.
func (in *instanceState) setHold(index int, hold holdState) {
	in.count(index, -1)
	in.slots[index].hold = hold
	in.slots[index].holdTurn++
	in.count(index, 1)
}

// setLedger changes what the slot is to its home and keeps the counts in
// step.
func (in *instanceState) setLedger(index int, ledger ledgerState) {
	in.count(index, -1)
	in.slots[index].ledger = ledger
	in.slots[index].ledgerTurn++
	in.count(index, 1)
}

// count adds a slot to the counts, or takes it out of them with n -1.
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
