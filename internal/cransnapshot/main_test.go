package cransnapshot

import (
	"testing"

	"github.com/cranberrypick/cranberrypick/internal/cranseed"
)

// TestMain fixes the seed of the stateful tests.
func TestMain(m *testing.M) { cranseed.Run(m) }
