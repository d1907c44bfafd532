package cranjob

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// earlierInstanceOrder is the record of a version that kept the newest wave only.
type earlierInstanceOrder struct {
	Wave      int    `cbor:"1,keyasint,omitempty"`
	Confirmed bool   `cbor:"4,keyasint,omitempty"`
	Pool      string `cbor:"2,keyasint,omitempty"`
	Moving    bool   `cbor:"5,keyasint,omitempty"`
	DecidedMs int64  `cbor:"3,keyasint,omitempty"`
}

// TestOrderOfEarlierVersion guards against a record of an earlier version, or one that such a version has to read,
// from which the newest order for an instance can't be told.
func TestOrderOfEarlierVersion(t *testing.T) {
	earlier := earlierInstanceOrder{Wave: 3, Confirmed: true, Pool: "p", DecidedMs: 5}
	o, err := decode[InstanceOrder]("m", Encode(earlier))
	require.NoError(t, err)
	require.True(t, o.IsOfEarlierVersion())
	require.Equal(t, []MaintenanceOrder{{Wave: 3, Confirmed: true}}, o.Maintenance())

	newer := o.WithMaintenance(4)
	o, err = decode[InstanceOrder]("m", Encode(newer))
	require.NoError(t, err)
	require.False(t, o.IsOfEarlierVersion())
	require.Equal(t, []MaintenanceOrder{{Wave: 3, Confirmed: true}, {Wave: 4}}, o.Maintenance())
	var read earlierInstanceOrder
	require.NoError(t, cbor.Unmarshal(Encode(*o), &read))
	require.Equal(t, earlierInstanceOrder{Wave: 4, Pool: "p", DecidedMs: 5}, read)

	none := o.WithoutWaves(func(int) bool { return true })
	require.False(t, none.IsOfEarlierVersion())
	require.Empty(t, none.Maintenance())
}

// TestOrdersOfWavesAreApart guards against a confirmation of one wave that counts for another.
func TestOrdersOfWavesAreApart(t *testing.T) {
	var none InstanceOrder
	both := none.WithMaintenance(1).WithMaintenance(2)
	one := both.WithConfirmation(1)
	require.Equal(t, []MaintenanceOrder{{Wave: 1, Confirmed: true}, {Wave: 2}}, one.Maintenance())
	require.Equal(t, []MaintenanceOrder{{Wave: 1}, {Wave: 2}}, both.Maintenance())
	again := one.WithMaintenance(1)
	require.Equal(t, []MaintenanceOrder{{Wave: 2}, {Wave: 1}}, again.Maintenance())
	require.Equal(t, 1, again.Wave)
	_, ordered := again.OfWave(3)
	require.False(t, ordered)
}
