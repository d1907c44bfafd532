package cransettings

import (
	"net/netip"
	"slices"
)

// checkRelations adds a fault for values that are each allowed but inconsistent
// with each other. It compares only values that are valid by themselves.
func (c *checker) checkRelations() {
	c.checkLease()
	c.checkAddresses()
	c.checkAdvertise()
}

func (c *checker) allAccepted(paths ...string) bool {
	return !slices.ContainsFunc(paths, func(p string) bool { return !c.accepted[p] })
}

// addAtFirstGiven adds a fault at the first of the paths that the file sets, or
// at the start of the file if it sets none of them.
func (c *checker) addAtFirstGiven(refused *refusal, paths ...string) {
	for _, p := range paths {
		if it, ok := c.firstItems[p]; ok {
			c.addRefusal(it, refused)
			return
		}
	}
	c.addFault(1, 1, refused.remedy, "%s: %s", paths[0], refused.message)
}

func (c *checker) checkLease() {
	l := c.settings.lease
	if c.allAccepted("lease.durationMs", "lease.heartbeatMs") && 3*l.heartbeat >= l.duration {
		c.addAtFirstGiven(newRefusal("lower lease.heartbeatMs or raise lease.durationMs",
			"the heartbeat of %d ms is not less than a third of the lease's %d ms", l.heartbeat.Milliseconds(), l.duration.Milliseconds()),
			"lease.heartbeatMs", "lease.durationMs")
	}
}

// checkAddresses adds a fault for two listeners that can't both be opened: they
// have the same port, and the same IP address or an unspecified one, which
// stands for all addresses of the machine.
func (c *checker) checkAddresses() {
	paths := []string{"listen", "peerListen", "adminListen"}
	addresses := []netip.AddrPort{c.settings.listen, c.settings.peerListen, c.settings.adminListen}
	for i := range paths {
		for j := range i {
			if c.allAccepted(paths[i], paths[j]) && overlap(addresses[i], addresses[j]) {
				c.addAtFirstGiven(newRefusal("give each address its own port",
					"%s overlaps with the address of %s", addresses[i], paths[j]), paths[i])
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

// checkAdvertise requires an address that peers can connect to: advertise must
// be set if peerListen has an unspecified IP address.
func (c *checker) checkAdvertise() {
	if !c.allAccepted("peerListen", "advertise") {
		return
	}
	if c.settings.peerListen.Addr().IsUnspecified() && !c.settings.advertise.IsValid() {
		c.addAtFirstGiven(newRefusal("add advertise with the IP address that peers use, or give peerListen that address",
			"peers can't connect to %s", c.settings.peerListen.Addr()), "peerListen")
	}
}
