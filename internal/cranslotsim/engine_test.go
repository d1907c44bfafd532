package cranslotsim

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsRunInOrderOfTimeThenPlan(t *testing.T) {
	var e engine
	var ran []int
	for i, delay := range []float64{0.2, 0.1, 0.2, 0.1} {
		e.after(delay, func() { ran = append(ran, i) })
	}
	for e.next(0.2) {
		continue
	}
	require.Equal(t, []int{1, 3, 0, 2}, ran)
	e.after(0.1, func() {})
	require.False(t, e.next(0.25))
}
