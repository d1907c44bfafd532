package crancli

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// pipeListener returns a new pipe from every Accept.
type pipeListener struct{ net.Listener }

func (pipeListener) Accept() (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

func (pipeListener) Close() error { return nil }

// TestLimitListener checks that Accept waits at the bound, that closing a
// connection, even twice, admits exactly one more, and that Close ends the
// wait.
func TestLimitListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimitListener(pipeListener{}, 2)
		accepted := make(chan net.Conn, 10)
		ended := make(chan error, 1)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					ended <- err
					return
				}
				accepted <- c
			}
		}()
		synctest.Wait()
		require.Len(t, accepted, 2)
		first := <-accepted
		require.NoError(t, first.Close())
		require.NoError(t, first.Close())
		synctest.Wait()
		require.Len(t, accepted, 2, "a connection that is closed twice releases one token")
		require.NoError(t, l.Close())
		require.NoError(t, l.Close())
		require.ErrorIs(t, <-ended, net.ErrClosed)
	})
}
