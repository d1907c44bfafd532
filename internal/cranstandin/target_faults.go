package cranstandin

// TargetFaults are a target's settable misbehaviours. The zero value is a
// target that works.
type TargetFaults struct {
	// FailFast fails every run at once with status 500.
	FailFast bool `json:"failFast,omitempty"`
	// LateMs makes every run take that much longer, in milliseconds.
	LateMs int `json:"lateMs,omitempty"`
	// Truncate declares the whole length of an answer and sends half.
	Truncate bool `json:"truncate,omitempty"`
	// WrongAnswer answers as if another request had been sent.
	WrongAnswer bool `json:"wrongAnswer,omitempty"`
	// SilentOpen makes the connections that are open when it is set hang for
	// good: nothing sent over them arrives, and no answer returns. Other
	// connections work.
	SilentOpen bool `json:"silentOpen,omitempty"`
	// SilentAll makes every connection hang.
	SilentAll bool `json:"silentAll,omitempty"`
	// IgnoreCancel keeps a run going when its caller goes away.
	IgnoreCancel bool `json:"ignoreCancel,omitempty"`
}

// validate reports a value that makes no sense.
func (f TargetFaults) validate() error {
	return checkMilliseconds("lateMs", int64(f.LateMs))
}

// Faults returns the faults in force.
func (t *Target) Faults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetFaults replaces the faults in force. Setting SilentOpen again silences
// the connections that were opened meanwhile; clearing it lets all work.
func (t *Target) SetFaults(f TargetFaults) error {
	if err := f.validate(); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	t.conns.silence(f.SilentOpen)
	return nil
}
