package main

import (
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandeployment"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// TestPrinted keeps the printed configuration, which decodes to itself.
func TestPrinted(t *testing.T) {
	c, err := crandeployment.HeadOffice()
	require.NoError(t, err)
	goldie.New(t, goldie.WithNameSuffix(".json")).Assert(t, "headOffice", c.Encode())
	decoded, err := cranfleet.Decode(c.Encode())
	require.NoError(t, err)
	require.Empty(t, cranfleet.Diff(c, decoded))
}
