// Package cranseed runs the property-based tests of a package with a fixed seed of
// rapid, so that every run has the same result. Only tests import it.
package cranseed

import (
	"flag"
	"os"
	"testing"
)

// FlagDefault is the value of a flag of the test binary that applies unless the command
// line sets the flag.
type FlagDefault struct {
	Name  string
	Value string
}

// Steps sets the maximum number of actions of a stateful test.
func Steps(n string) FlagDefault { return FlagDefault{Name: "rapid.steps", Value: n} }

// Checks sets the number of times that a property is checked.
func Checks(n string) FlagDefault { return FlagDefault{Name: "rapid.checks", Value: n} }

// Run runs the tests with a fixed seed and without writing files of failed inputs, and
// then exits the process. The package under test must import rapid, which defines the
// flags.
func Run(m *testing.M, defaults ...FlagDefault) {
	flag.Parse()
	defaults = append([]FlagDefault{{Name: "rapid.seed", Value: "1"}, {Name: "rapid.nofailfile", Value: "true"}}, defaults...)
	isSet := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { isSet[f.Name] = true })
	for _, d := range defaults {
		if !isSet[d.Name] {
			setFlag(d)
		}
	}
	os.Exit(m.Run())
}

func setFlag(d FlagDefault) {
	if err := flag.Set(d.Name, d.Value); err != nil {
		panic(err)
	}
}
