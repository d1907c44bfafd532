package crandemo

import "io"

// defaultSeed is fixed, so that the generated requests are the same in each demonstration.
const defaultSeed = 1

// settings holds the values that options set.
type settings struct {
	progress io.Writer
	seed     uint64
}

// Option changes how a demonstration runs.
type Option func(*settings)

// WithProgress sets where progress lines are written. By default they are discarded.
func WithProgress(w io.Writer) Option { return func(s *settings) { s.progress = w } }

// WithSeed sets the seed of the random generator of requests.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

func newSettings(options []Option) settings {
	s := settings{progress: io.Discard, seed: defaultSeed}
	for _, o := range options {
		o(&s)
	}
	return s
}
