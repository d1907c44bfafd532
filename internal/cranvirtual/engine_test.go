package cranvirtual

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsRunInOrderOfTimeThenScheduling(t *testing.T) {
	var e Engine[float64]
	var ran []int
	for i, delay := range []float64{0.2, 0.1, 0.2, 0.1} {
		e.Schedule(e.Now()+delay, func() { ran = append(ran, i) })
	}
	for e.RunNextUntil(0.2) {
		continue
	}
	require.Equal(t, []int{1, 3, 0, 2}, ran)
	e.Schedule(e.Now()+0.1, func() {})
	require.False(t, e.RunNextUntil(0.25))
}
