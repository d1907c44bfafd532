package cranstate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSnapshotRoundTrip(t *testing.T) {
	s := serving(t)
	s.must("op", WaveProposed{Pools: []string{"roster"}, MaxFailures: 1})
	s.must("op", StopProposed{Instance: "r1", Kind: StopReboot, Wave: s.state.Waves()[0].ID()})
	s.must("e1-a", LeaseRequested{Shard: "effects", DurationMs: 4000})
	data, err := s.state.Encode()
	require.NoError(t, err)
	again, err := Decode(data)
	require.NoError(t, err)
	twice, err := again.Encode()
	require.NoError(t, err)
	require.Equal(t, data, twice)
}
