package cranslot

import (
	"testing"

	"github.com/cranberrypick/cranberrypick/internal/cranseed"
)

// TestMain fixes the seed of the property tests and limits their size.
func TestMain(m *testing.M) { cranseed.Run(m, cranseed.Steps("250"), cranseed.Checks("400")) }
