package cranstandin

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
)

// serve returns a platform behind HTTP and a client with the name.
func serve(t *testing.T, name string, options ...PlatformOption) (*Platform, *cranplatform.Client) {
	t.Helper()
	p := NewPlatform(options...)
	s := httptest.NewServer(p)
	c := cranplatform.NewClient(s.URL, cranplatform.WithName(name))
	t.Cleanup(func() {
		require.NoError(t, c.Close())
		require.NoError(t, p.Close())
		s.Close()
	})
	return p, c
}

func TestClientCarriesLogCalls(t *testing.T) {
	p, c := serve(t, "entry1", WithLog(WithRetention(3)))
	ctx := context.Background()
	for n := range 5 {
		first, err := c.Append(ctx, "a/b c", [][]byte{{byte(n)}})
		require.NoError(t, err)
		require.EqualValues(t, n, first)
	}
	_, err := c.Read(ctx, "a/b c", 1, 10, 0)
	require.ErrorIs(t, err, cranfault.Of(cranfault.RecordsExpired))
	batch, err := c.Read(ctx, "a/b c", 2, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 3)
	require.Equal(t, []byte{4}, batch.Records[2].Data)
	require.EqualValues(t, 2, batch.Oldest)
	require.EqualValues(t, 5, batch.Next)

	require.NoError(t, p.SetFaults(Faults{LoseAppendAnswers: 1}))
	_, err = c.Append(ctx, "a/b c", [][]byte{{9}})
	require.ErrorIs(t, err, cranfault.Of(cranfault.LogUnavailable))
	batch, err = c.Read(ctx, "a/b c", 5, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1, "a lost answer's append took effect once")
}

func TestCutClientAlone(t *testing.T) {
	p, c := serve(t, "entry1")
	ctx := context.Background()
	require.NoError(t, p.SetFaults(Faults{CutFromLog: []string{"entry1"}}))
	_, err := c.Append(ctx, "s", [][]byte{{1}})
	require.ErrorIs(t, err, cranfault.Of(cranfault.LogUnavailable))
	_, err = c.Instances(ctx)
	require.NoError(t, err)
	_, err = p.LogFor("entry2").Append(ctx, "s", [][]byte{{1}})
	require.NoError(t, err)
}

func TestClientAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		p := NewPlatform(o.options())
		s := httptest.NewServer(p)
		c := cranplatform.NewClient(s.URL)
		defer func() {
			require.NoError(t, c.Close())
			require.NoError(t, p.Close())
			s.Close()
		}()
		checkLog(t, c, p, o)
	})
}
