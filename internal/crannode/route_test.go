package crannode

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// TestFindQueue checks that the longest prefix of the host wins, and that other hosts
// and paths match no queue.
func TestFindQueue(t *testing.T) {
	queues := map[string]*cransched.Queue{"short": {Name: "short"}, "long": {Name: "long"}}
	c := NewConfig(cransched.Config{Queues: queues}, []Route{
		{Host: "h", Prefix: "/a/", Queue: "short"}, {Host: "h", Prefix: "/a/b/", Queue: "long"},
	})
	queue, rest := c.FindQueue("h", "/a/b/x")
	require.Equal(t, queues["long"], queue)
	require.Equal(t, "x", rest)
	queue, rest = c.FindQueue("h", "/a/c")
	require.Equal(t, queues["short"], queue)
	require.Equal(t, "c", rest)
	queue, _ = c.FindQueue("h", "/b")
	require.Nil(t, queue)
	queue, _ = c.FindQueue("other", "/a/")
	require.Nil(t, queue)
}
