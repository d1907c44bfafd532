package cranevent

import (
	"bytes"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// stuckWriter blocks until it is released, like a pipe that nobody reads.
type stuckWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

// TestDropWriterNeverBlocks writes more than fits before anything is read, and
// expects the number of lines left out to be told afterwards.
func TestDropWriterNeverBlocks(t *testing.T) {
	s := &stuckWriter{release: make(chan struct{})}
	d := NewDropWriter(s)
	for range 3 * dropDepth {
		_, err := d.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	close(s.release)
	for len(d.lines) > 0 {
		runtime.Gosched()
	}
	_, err := d.Write([]byte("last\n"))
	require.NoError(t, err)
	require.NoError(t, d.Close())
	text := s.written.String()
	require.Contains(t, text, `"name":"linesLeftOut"`)
	require.LessOrEqual(t, strings.Count(text, "line\n"), dropDepth+2)
	_, err = d.Write([]byte("late\n"))
	require.Error(t, err)
}
