package cranjob

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTaskNameParsingAndOrder(t *testing.T) {
	name := TaskName{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 13}
	parsed, ok := ParseTaskName(name.String())
	require.True(t, ok)
	require.Equal(t, name, parsed)
	for _, text := range []string{"", "j", "j.0.0", "j.0.0.0.0", "j.0.-1.0", "j.0.x.0"} {
		_, ok := ParseTaskName(text)
		require.False(t, ok, text)
	}
	require.Zero(t, name.Compare(parsed))
	parsed.Index = 2
	require.Positive(t, name.Compare(parsed))
	parsed.Occurrence = 3
	require.Negative(t, name.Compare(parsed))
}
