package cransoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpause"
	"github.com/cranberrypick/cranberrypick/platform/standin"
)

const (
	// maxConfigInterval is the longest time between two configurations of a burst, and
	// maxConfigBurst the largest number of them. Bursts are up to maxBurstInterval apart.
	maxConfigInterval = 150 * time.Millisecond
	maxConfigBurst    = 12
	maxBurstInterval  = 3 * time.Second
	// fillerRoutes routes of fillerBytes each make a configuration large.
	fillerRoutes = 800
	fillerBytes  = 200
	// narrowRate is the rate of a narrowed link, in bytes per second. It carries a
	// configuration in two thirds of a second.
	narrowRate = 400_000
	// maxRoutes is the number of probed routes in a configuration.
	maxRoutes = 4
	// probeInterval is the time between two probes.
	probeInterval = 20 * time.Millisecond
)

// configs publishes configurations with routes that come and go, and checks what entry
// instances answer about these routes.
type configs struct {
	deployment *standin.Deployment

	mu      sync.Mutex
	version int
	// routes holds every route that was ever published, the newest last.
	routes []*probedRoute
	// violations holds a message for each false answer.
	violations []string
}

// probedRoute is a route that is in the configurations of a certain time.
type probedRoute struct {
	prefix string
	// addedAt and removedAt are when the first configuration with the route, and the first
	// one without it, were stored. removing is set before that. They are zero until then.
	addedAt, removing, removedAt time.Time
}

// publish stores a configuration with one more route, and without the oldest one if there
// are more than maxRoutes.
func (c *configs) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	added := &probedRoute{prefix: fmt.Sprintf("/r%d/", c.version)}
	c.routes = append(c.routes, added)
	var removed *probedRoute
	if len(c.routes) > maxRoutes {
		removed = c.routes[len(c.routes)-1-maxRoutes]
		removed.removing = time.Now()
	}
	prefixes := make([]string, 0, maxRoutes+fillerRoutes)
	for _, r := range c.routes[max(len(c.routes)-maxRoutes, 0):] {
		prefixes = append(prefixes, r.prefix)
	}
	for i := range fillerRoutes {
		prefixes = append(prefixes, fmt.Sprintf("/filler%d/%s/", i, strings.Repeat("x", fillerBytes)))
	}
	c.deployment.PublishConfig(c.version, prefixes...)
	added.addedAt = time.Now()
	if removed != nil {
		removed.removedAt = added.addedAt
	}
}

// check records a violation if an answer rests on a configuration that was replaced longer
// than the bound before the request was sent.
func (c *configs) check(r *probedRoute, entry string, sent time.Time, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	inForce := sent.Add(-standin.ConfigBound)
	missing := status == http.StatusNotFound && !r.addedAt.IsZero() && r.addedAt.Before(inForce) && r.removing.IsZero()
	dropped := status == http.StatusOK && !r.removedAt.IsZero() && r.removedAt.Before(inForce)
	if missing || dropped {
		c.violations = append(c.violations, fmt.Sprintf("%s answered %d for route %s, added %v and removed %v before the request",
			entry, status, r.prefix, sent.Sub(r.addedAt), sent.Sub(r.removedAt)))
	}
}

// newest returns one of the routes published last, some of them removed by now; nil if
// there is none.
func (c *configs) newest(random *rand.Rand) *probedRoute {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.routes) == 0 {
		return nil
	}
	return c.routes[len(c.routes)-1-random.IntN(min(len(c.routes), 4*maxRoutes))]
}

// runConfigs publishes bursts of configurations, narrows links, and probes routes until ctx
// ends. It has random sources of its own, so that the other faults of a seed stay the same.
func (s *soak) runConfigs(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.Seed, 2))
	s.group.Go(func() {
		for ctx.Err() == nil {
			cranpause.Sleep(ctx, time.Duration(random.Int64N(int64(maxBurstInterval))))
			e := s.entries[random.IntN(s.Entries)]
			proxy := e.proxy
			end := s.disrupt(e.name)
			proxy.SetRate(narrowRate)
			for range random.IntN(maxConfigBurst) {
				s.configs.publish()
				cranpause.Sleep(ctx, time.Duration(random.Int64N(int64(maxConfigInterval))))
			}
			if random.IntN(2) == 0 {
				proxy.SetRate(0)
				end()
			}
		}
	})
	probeRandom := rand.New(rand.NewPCG(s.Seed, 3))
	s.group.Go(func() {
		for ctx.Err() == nil {
			cranpause.Sleep(ctx, probeInterval)
			r, e := s.configs.newest(probeRandom), s.entries[probeRandom.IntN(s.Entries)]
			if r == nil {
				continue
			}
			s.group.Go(func() {
				sent := time.Now()
				status, _ := s.callerOf(0).Call(ctx, http.MethodGet, e.frontAddress, r.prefix, nil)
				s.configs.check(r, e.name, sent, status)
			})
		}
	})
}
