package crandemo

import "io"

// defaultSeed makes the offered requests the same at each run.
const defaultSeed = 1

// settings are the values behind the options.
type settings struct {
	progress io.Writer
	seed     uint64
}

// Option changes how a demonstration runs.
type Option func(*settings)

// WithProgress sets where progress lines are written. By default they are
// dropped.
func WithProgress(w io.Writer) Option { return func(s *settings) { s.progress = w } }

// WithSeed sets the seed of the offered requests.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

func newSettings(options []Option) settings {
	s := settings{progress: io.Discard, seed: defaultSeed}
	for _, o := range options {
		o(&s)
	}
	return s
}
