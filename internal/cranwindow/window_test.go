package cranwindow

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWindowStaysWithinBounds(t *testing.T) {
	w := New(10, 3, 30)
	w.Shrink()
	require.Equal(t, 5, w.Size())
	w.Shrink()
	require.Equal(t, 3, w.Size())
	for range 4 {
		w.Grow()
	}
	require.Equal(t, 30, w.Size())
}
