package main

import (
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/crandeployment"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// TestConfigurationMatchesGoldenFile checks that the encoded configuration equals the golden
// file and decodes to the same configuration.
func TestConfigurationMatchesGoldenFile(t *testing.T) {
	c, err := crandeployment.HeadOffice()
	require.NoError(t, err)
	goldie.New(t, goldie.WithNameSuffix(".json")).Assert(t, "headOffice", c.Encode())
	decoded, err := cranfleet.Decode(c.Encode())
	require.NoError(t, err)
	require.Empty(t, cranfleet.Diff(c, decoded))
}
