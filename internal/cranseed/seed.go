// Package cranseed gives the stateful tests of every package the same fixed
// seed, so that each run gives the same verdict. Only tests import it.
package cranseed

import (
	"flag"
	"os"
	"testing"
)

// FlagDefault is a flag of the test binary with the value that it gets unless the
// command line gives it.
type FlagDefault struct {
	Name  string
	Value string
}

// Steps sets how many actions a state machine draws at the most.
func Steps(n string) FlagDefault { return FlagDefault{Name: "rapid.steps", Value: n} }

// Checks sets how many runs a property gets.
func Checks(n string) FlagDefault { return FlagDefault{Name: "rapid.checks", Value: n} }

// Run runs the tests with a fixed seed and without files of failures, and ends
// the process. The package under test must import rapid.
func Run(m *testing.M, defaults ...FlagDefault) {
	flag.Parse()
	defaults = append([]FlagDefault{{Name: "rapid.seed", Value: "1"}, {Name: "rapid.nofailfile", Value: "true"}}, defaults...)
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, d := range defaults {
		if !given[d.Name] {
			set(d)
		}
	}
	os.Exit(m.Run())
}

func set(d FlagDefault) {
	if err := flag.Set(d.Name, d.Value); err != nil {
		panic(err)
	}
}
