package crannode

import (
	"slices"
	"strings"

	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// Route maps a host and a path prefix to a queue.
type Route struct {
	Host, Prefix, Queue string
}

// Config is a configuration together with the routes to its queues.
type Config struct {
	cransched.Config
	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]Route
}

// NewConfig returns a configuration with the routes to its queues.
func NewConfig(config cransched.Config, routes []Route) *Config {
	c := &Config{Config: config, hosts: map[string][]Route{}}
	for _, r := range routes {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return c
}

// FindQueue returns the queue to which the host and the path are routed, and the path
// without the route's prefix. The queue is nil if no route matches.
func (c *Config) FindQueue(host, path string) (*cransched.Queue, string) {
	for _, r := range c.hosts[host] {
		if rest, found := strings.CutPrefix(path, r.Prefix); found {
			return c.Queues[r.Queue], rest
		}
	}
	return nil, ""
}
