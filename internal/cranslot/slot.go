package cranslot

// Slot is the right to have one request in progress on an instance. It is valid
// from TryAcquire until Release.
type Slot struct {
	instance string
	index    int
	// serial is unique among the slots that one Broker has handed out, so that
	// a second Release of the same Slot is detected and ignored.
	serial uint64
}

// Instance returns the ID of the instance that the slot belongs to.
func (s Slot) Instance() string { return s.instance }

// Index returns the number of the slot on its instance, counted from 0.
func (s Slot) Index() int { return s.index }
