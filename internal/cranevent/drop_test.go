package cranevent

import (
	"bytes"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// blockedWriter blocks until it is released, like a pipe without a reader.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

// TestDropWriterNeverBlocks writes more lines than the queue holds while the
// underlying writer blocks, and checks that the number of dropped lines is written
// afterwards.
func TestDropWriterNeverBlocks(t *testing.T) {
	s := &blockedWriter{release: make(chan struct{})}
	d := NewDropWriter(s)
	for range 3 * maxQueuedLines {
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
	require.LessOrEqual(t, strings.Count(text, "line\n"), maxQueuedLines+2)
	_, err = d.Write([]byte("late\n"))
	require.Error(t, err)
}
