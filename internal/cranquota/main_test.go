package cranquota

import (
	"testing"

	"github.com/cranberrypick/cranberrypick/internal/cranseed"
)

// TestMain fixes the seed of the property-based tests.
func TestMain(m *testing.M) { cranseed.Run(m) }
