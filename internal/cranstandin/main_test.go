package cranstandin

import (
	"fmt"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranseed"
)

// TestMain fixes the seed of the stateful tests.
func TestMain(m *testing.M) { cranseed.Run(m) }

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
