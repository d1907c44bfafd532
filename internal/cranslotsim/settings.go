package cranslotsim

import (
	"slices"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Names of the schemes.
const (
	Pooled  = "pooled"
	Own     = "own"
	Forward = "forward"
	Choices = "choices"
	Lending = "lending"
)

// Schemes returns the names of all schemes.
func Schemes() []string { return []string{Pooled, Own, Forward, Choices, Lending} }

// Names of the service time distributions, each with mean 1.
const (
	Exponential = "exponential"
	// Heavy is hyperexponential with a squared coefficient of variation of 5.
	Heavy = "heavy"
)

// Settings holds the parameters of one run. All times are in mean service times.
type Settings struct {
	Scheme  string  `json:"scheme"`
	Service string  `json:"service"`
	Load    float64 `json:"load"`
	Entries int     `json:"entries"`
	Targets int     `json:"targets"`
	// Slots is the number of slots of each target.
	Slots int `json:"slots"`
	// Hop is the delay of a message between two entries.
	Hop float64 `json:"hop"`
	// Loss is the share of messages between entries that are lost.
	Loss float64 `json:"loss"`
	// Interval is the time between two batches of messages of an entry.
	Interval float64 `json:"interval"`
	// ExchangeInterval is the time between two exchanges of free slot counts in the forward
	// scheme.
	ExchangeInterval float64 `json:"stale"`
	// Duration is the time in which requests arrive. The waits in the first tenth of it
	// aren't recorded.
	Duration float64 `json:"duration"`
	// FailFast makes the first target fail every request almost immediately.
	FailFast bool `json:"failFast"`
	// Surge makes requests arrive at five times the mean rate for surgeLength in every
	// surgePeriod, and at a lower constant rate otherwise.
	Surge bool   `json:"surge"`
	Seed  uint64 `json:"seed"`
}

// Default returns the settings of the design goal: load 0.9, 9 entries, 10 targets of 8
// slots.
func Default() Settings {
	return Settings{
		Scheme: Lending, Service: Exponential, Load: 0.9,
		Entries: 9, Targets: 10, Slots: 8,
		Hop: 0.01, Interval: 0.1, ExchangeInterval: 1,
		Duration: 2000, Seed: 1,
	}
}

// validate returns a fault if a setting is unknown or out of range.
func (s Settings) validate() error {
	const remedy = "correct the settings of the simulation"
	switch {
	case !slices.Contains(Schemes(), s.Scheme):
		return cranfault.New(cranfault.Invalid, remedy, "unknown scheme %q", s.Scheme)
	case s.Service != Exponential && s.Service != Heavy:
		return cranfault.New(cranfault.Invalid, remedy, "unknown service time distribution %q", s.Service)
	case s.Load <= 0 || s.Entries < 1 || s.Targets < 1 || s.Slots < 1 || s.Duration <= 0:
		return cranfault.New(cranfault.Invalid, remedy, "load, entries, targets, slots and duration must be above 0")
	case s.Interval <= 0 || s.ExchangeInterval <= 0 || s.Hop < 0 || s.Loss < 0 || s.Loss >= 1:
		return cranfault.New(cranfault.Invalid, remedy, "interval and stale must be above 0, hop at least 0, and loss at least 0 and below 1")
	}
	return nil
}
