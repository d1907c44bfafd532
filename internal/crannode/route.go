package crannode

import (
	"slices"
	"strings"

	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// Route leads from a request to a queue.
type Route struct {
	Host, Prefix, Queue string
}

// Config is a configuration in force, with what leads to its queues.
type Config struct {
	cransched.Config
	// hosts holds the routes of each host, the longest prefix first.
	hosts map[string][]Route
}

// NewConfig returns a configuration whose queues are reached by routes.
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

// FindQueue returns the queue that a path of a host leads to, and the rest of the
// path; nil if there is none.
func (c *Config) FindQueue(host, path string) (*cransched.Queue, string) {
	for _, r := range c.hosts[host] {
		if rest, found := strings.CutPrefix(path, r.Prefix); found {
			return c.Queues[r.Queue], rest
		}
	}
	return nil, ""
}
