package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// publish puts a configuration in force if it was based on the one in force.
func (c *applyContext) publish(e ConfigPublished) *cranfault.Fault {
	if e.Base != c.revision {
		return cranfault.New(cranfault.StaleRevision, "read the configuration in force, apply the change to it and publish again",
			"based on revision %d, but %d is in force", e.Base, c.revision)
	}
	config, err := cranfleet.Decode(e.Config)
	if err != nil {
		return cranfault.New(cranfault.Invalid, "print it again with the library", "%v", err)
	}
	if fault := c.checkPoolsInUse(config); fault != nil {
		return fault
	}
	c.config = config
	c.revision = c.in.Offset + 1
	c.assignPools()
	c.invalidateViews()
	c.emit(ConfigInForce{Revision: c.revision})
	return nil
}

// checkPoolsInUse refuses a configuration that drops a pool which is still in use.
func (c *applyContext) checkPoolsInUse(config *cranfleet.Config) *cranfault.Fault {
	for _, in := range c.sortedInstances() {
		for _, pool := range in.pools() {
			if _, ok := config.Pool(pool); pool != "" && !ok {
				return cranfault.New(cranfault.Busy, "move its instances to another pool first",
					"pool %q is dropped but instance %q belongs to it or moves there", pool, in.id)
			}
		}
	}
	return nil
}

// assignPools puts instances that arrived before any configuration into
// their pools.
func (c *applyContext) assignPools() {
	for _, in := range c.sortedInstances() {
		if in.pool == "" {
			in.pool = c.poolFor(in.reportedPool)
		}
	}
}

// poolFor returns the pool of a new instance: the platform's hint if that
// pool exists, else the spare.
func (c *applyContext) poolFor(hint string) string {
	if c.config == nil {
		return ""
	}
	if _, ok := c.config.Pool(hint); ok {
		return hint
	}
	return c.config.Spare()
}
