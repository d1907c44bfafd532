package cranstandin

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the stateful tests, unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// checkInBubble checks a property under a virtual clock, in a bubble of its
// own for each run.
func checkInBubble(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, func(r *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			property(r)
		})
		// The shrinker tells failures apart by the line that panics.
		switch {
		case failure == nil:
		case fmt.Sprintf("%T", failure) == "rapid.invalidData":
			panic(failure)
		default:
			panic(failure)
		}
	})
}
