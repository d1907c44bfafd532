package cransched

import (
	"testing"

	"github.com/cranberrypick/cranberrypick/internal/cranseed"
)

func TestMain(m *testing.M) { cranseed.Run(m) }
