package crandigest

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// TestHostileAdmissionIsRefused guards against figures that overflow, divide by zero or fill the memory of an entry
// instance: each record is refused with an error, and the figures before it stay.
func TestHostileAdmissionIsRefused(t *testing.T) {
	d := New()
	good := Admission{Epoch: 3, Queues: []QueueLoad{{Queue: QueueHash("a"), Waiting: 4, DrainMs: 1500}}, Tenants: []TenantShare{{Name: "x", Within: 200}}}
	record := good.Record(1)
	change, err := d.Apply(record.Key, record.Value, 0)
	require.NoError(t, err)
	require.Equal(t, Change{Kind: LoadPublished, Shard: 1}, change)
	many := make([]TenantShare, maxAdmissionTenants+1)
	for i := range many {
		many[i].Name = strings.Repeat("x", i%maxTenantName+1)
	}
	for name, a := range map[string]Admission{
		"negative":        {Epoch: 4, Queues: []QueueLoad{{DrainMs: -1}}},
		"huge":            {Epoch: 4, Queues: []QueueLoad{{Arriving: math.MaxInt64}}},
		"repeated queue":  {Epoch: 4, Queues: []QueueLoad{{Queue: 5}, {Queue: 5}}},
		"repeated tenant": {Epoch: 4, Tenants: []TenantShare{{Name: "x"}, {Name: "x"}}},
		"no name":         {Epoch: 4, Tenants: []TenantShare{{}}},
		"share above 1":   {Epoch: 4, Tenants: []TenantShare{{Name: "x", Within: 1001}}},
		"too many":        {Epoch: 4, Tenants: many},
	} {
		_, err := d.Apply("b1", cranjob.Encode(a), 0)
		require.Error(t, err, name)
	}
	for _, text := range []string{"", "x", "\x80", "\xff\xff"} {
		_, err := d.Apply("b1", []byte(text), 0)
		require.Error(t, err)
	}
	_, err = d.Apply("b-1", record.Value, 0)
	require.Error(t, err)
	q, known := d.Admission(1).Queue("a")
	require.True(t, known)
	require.Equal(t, int64(1500), q.DrainMs)
	require.Nil(t, d.Admission(0))

	// A record of an earlier owner that is read late replaces nothing.
	late := Admission{Epoch: 2}.Record(1)
	change, err = d.Apply(late.Key, late.Value, 0)
	require.NoError(t, err)
	require.Equal(t, Change{}, change)
	require.Len(t, d.Admission(1).Queues, 1)
}
