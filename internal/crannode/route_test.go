package crannode

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// TestFind prefers the longest prefix of the host, and finds nothing elsewhere.
func TestFind(t *testing.T) {
	queues := map[string]*cransched.Queue{"short": {Name: "short"}, "long": {Name: "long"}}
	c := NewConfig(cransched.Config{Queues: queues}, []Route{
		{Host: "h", Prefix: "/a/", Queue: "short"}, {Host: "h", Prefix: "/a/b/", Queue: "long"},
	})
	queue, rest := c.Find("h", "/a/b/x")
	require.Equal(t, queues["long"], queue)
	require.Equal(t, "x", rest)
	queue, rest = c.Find("h", "/a/c")
	require.Equal(t, queues["short"], queue)
	require.Equal(t, "c", rest)
	queue, _ = c.Find("h", "/b")
	require.Nil(t, queue)
	queue, _ = c.Find("other", "/a/")
	require.Nil(t, queue)
}
