package cransettings

import (
	"net/netip"
	"slices"
)

// checkRelations reports values that are each within bounds but don't fit
// each other. It compares only values that were taken.
func (c *checker) checkRelations() {
	c.checkLease()
	c.checkAddresses()
	c.checkAdvertise()
}

func (c *checker) allGood(paths ...string) bool {
	return !slices.ContainsFunc(paths, func(p string) bool { return !c.good[p] })
}

// blame adds a fault at the first of the paths that the file gives.
func (c *checker) blame(wrong *reason, paths ...string) {
	for _, p := range paths {
		if it, ok := c.seen[p]; ok {
			c.addAt(it, wrong)
			return
		}
	}
	c.add(1, 1, wrong.remedy, "%s: %s", paths[0], wrong.message)
}

func (c *checker) checkLease() {
	l := c.settings.lease
	if c.allGood("lease.durationMs", "lease.heartbeatMs") && 3*l.heartbeat >= l.duration {
		c.blame(refuse("lower lease.heartbeatMs or raise lease.durationMs",
			"the heartbeat of %d ms is not under a third of the lease's %d ms", l.heartbeat.Milliseconds(), l.duration.Milliseconds()),
			"lease.heartbeatMs", "lease.durationMs")
	}
}

// checkAddresses refuses two listeners that can't both be opened: the same
// port on the same IP number, or on every one of the machine's.
func (c *checker) checkAddresses() {
	paths := []string{"listen", "peerListen", "adminListen"}
	addresses := []netip.AddrPort{c.settings.listen, c.settings.peerListen, c.settings.adminListen}
	for i := range paths {
		for j := range i {
			if c.allGood(paths[i], paths[j]) && overlap(addresses[i], addresses[j]) {
				c.blame(refuse("give each address a port of its own",
					"%s is taken by %s", addresses[i], paths[j]), paths[i])
				break
			}
		}
	}
}

func overlap(a, b netip.AddrPort) bool {
	if a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

func (c *checker) checkAdvertise() {
	if !c.allGood("peerListen", "advertise") {
		return
	}
	if c.settings.peerListen.Addr().IsUnspecified() && !c.settings.advertise.IsValid() {
		c.blame(refuse("add advertise with the IP number that peers use, or give peerListen that number",
			"peers can't connect to %s", c.settings.peerListen.Addr()), "peerListen")
	}
}
