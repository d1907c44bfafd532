package cranstate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSnapshotRoundTrip(t *testing.T) {
	s := newServingFleet(t)
	s.mustAccept("op", WaveProposed{Pools: []string{"roster"}, MaxFailures: 1})
	s.mustAccept("op", StopProposed{Instance: "r1", Kind: StopReboot, Wave: s.state.Waves()[0].ID()})
	s.mustAccept("e1-a", LeaseRequested{Shard: "effects", DurationMs: 4000})
	data, err := s.state.Encode()
	require.NoError(t, err)
	decoded, err := Decode(data)
	require.NoError(t, err)
	reencoded, err := decoded.Encode()
	require.NoError(t, err)
	require.Equal(t, data, reencoded)
}
