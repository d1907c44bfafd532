package cranpack

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

func TestRoundTripAndInvalidData(t *testing.T) {
	data := make([]byte, 100_000)
	packed, err := Pack(data)
	require.NoError(t, err)
	require.Less(t, len(packed), 1000)
	got, err := Unpack(packed, len(data))
	require.NoError(t, err)
	require.Equal(t, data, got)
	_, err = Unpack(packed, len(data)-1)
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.TooLarge))
	_, err = Unpack([]byte("no stream"), len(data))
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
	_, err = Unpack(packed[:len(packed)/2], len(data))
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Malformed))
}
