package cranstandin

import (
	"fmt"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranseed"
)

// TestMain sets the seed of the property-based tests.
func TestMain(m *testing.M) { cranseed.Run(m) }

// checkInBubble checks a property under a virtual clock. Each run has its own
// bubble of testing/synctest.
func checkInBubble(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, func(r *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			defer func() { failure = recover() }()
			property(r)
		})
		// The shrinker of rapid distinguishes failures by the line that panics, so
		// the two kinds need a panic statement each.
		switch {
		case failure == nil:
		case fmt.Sprintf("%T", failure) == "rapid.invalidData":
			panic(failure)
		default:
			panic(failure)
		}
	})
}
