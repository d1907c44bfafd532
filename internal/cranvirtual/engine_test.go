package cranvirtual

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsRunInOrderOfTimeThenPlan(t *testing.T) {
	var e Engine[float64]
	var ran []int
	for i, delay := range []float64{0.2, 0.1, 0.2, 0.1} {
		e.At(e.Now()+delay, func() { ran = append(ran, i) })
	}
	for e.NextUntil(0.2) {
		continue
	}
	require.Equal(t, []int{1, 3, 0, 2}, ran)
	e.At(e.Now()+0.1, func() {})
	require.False(t, e.NextUntil(0.25))
}
