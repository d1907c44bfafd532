package cranstate

import (
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// publish puts a configuration in force if it is based on the revision that is
// in force.
func (c *applyContext) publish(e ConfigPublished) *cranfault.Fault {
	if e.Base != c.revision {
		return cranfault.New(cranfault.StaleRevision, "read the configuration in force, apply the change to it and publish again",
			"based on revision %d, but %d is in force", e.Base, c.revision)
	}
	config, err := cranfleet.Decode(e.Config)
	if err != nil {
		return cranfault.New(cranfault.Invalid, "encode the configuration again with the library", "%v", err)
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

// checkPoolsInUse refuses a configuration that removes a pool to which an
// instance belongs or moves.
func (c *applyContext) checkPoolsInUse(config *cranfleet.Config) *cranfault.Fault {
	for _, in := range c.sortedInstances() {
		for _, pool := range in.pools() {
			if _, ok := config.Pool(pool); pool != "" && !ok {
				return cranfault.New(cranfault.Busy, "move the instances of the pool to another pool first",
					"the configuration removes pool %q, but instance %q belongs or moves to it", pool, in.id)
			}
		}
	}
	return nil
}

// assignPools assigns a pool to each instance that was listed before the first
// configuration.
func (c *applyContext) assignPools() {
	for _, in := range c.sortedInstances() {
		if in.pool == "" {
			in.pool = c.poolFor(in.reportedPool)
		}
	}
}

// poolFor returns the pool of a new instance: the pool that the platform
// reported if it exists, else the spare pool.
func (c *applyContext) poolFor(reported string) string {
	if c.config == nil {
		return ""
	}
	if _, ok := c.config.Pool(reported); ok {
		return reported
	}
	return c.config.Spare()
}
