package cranstandin

// TargetFaults describes the faults that are injected into a target. The zero
// value injects none.
type TargetFaults struct {
	// FailFast fails every run at once with status 500.
	FailFast bool `json:"failFast,omitempty"`
	// LateMs is added to the duration of every run, in milliseconds.
	LateMs int `json:"lateMs,omitempty"`
	// Truncate declares the whole length of a run's response, sends half of it
	// and closes the connection.
	Truncate bool `json:"truncate,omitempty"`
	// WrongAnswer sends the response of a different request.
	WrongAnswer bool `json:"wrongAnswer,omitempty"`
	// SilentOpen makes the connections that are open when it is set hang while
	// it is set: requests sent over them aren't run, and no response is sent.
	// Other connections work.
	SilentOpen bool `json:"silentOpen,omitempty"`
	// SilentAll makes every connection hang.
	SilentAll bool `json:"silentAll,omitempty"`
	// IgnoreCancel continues a run when its caller closes the connection.
	IgnoreCancel bool `json:"ignoreCancel,omitempty"`
}

// validate returns an error if LateMs is out of range.
func (f TargetFaults) validate() error {
	return checkMilliseconds("lateMs", int64(f.LateMs))
}

// Faults returns the injected faults.
func (t *Target) Faults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetFaults replaces the injected faults. Setting SilentOpen again includes the
// connections that were opened meanwhile. Clearing it lets all connections work,
// but requests that hang already stay without a response.
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
