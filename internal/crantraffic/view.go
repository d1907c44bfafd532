package crantraffic

import (
	"time"
)

// Route specifies how the requests of one service run.
type Route struct {
	service     string
	group       string
	maxDuration time.Duration // maximum run time of one request at a target, above zero
	maxQueue    int           // maximum number of requests that wait for a slot, zero or more
}

// NewRoute returns the route of a service to the pool that runs it.
func NewRoute(service, group string, maxDuration time.Duration, maxQueue int) Route {
	return Route{service: service, group: group, maxDuration: maxDuration, maxQueue: maxQueue}
}

// Service returns the name of the service.
func (r Route) Service() string { return r.service }

// Group returns the name of the pool that runs the service.
func (r Route) Group() string { return r.group }

// MaxDuration returns the maximum run time of one request at a target.
func (r Route) MaxDuration() time.Duration { return r.maxDuration }

// MaxQueue returns how many requests may wait for a slot.
func (r Route) MaxQueue() int { return r.maxQueue }

// Instance describes a target.
type Instance struct {
	id          string
	address     string // host:port
	group       string
	connections int  // maximum number of connections from this entry, above zero
	open        bool // false once the instance is cordoned: no new send may begin
}

// NewInstance returns an instance. Connections is this entry's share of the
// instance's connections.
func NewInstance(id, address, group string, connections int, open bool) Instance {
	return Instance{id: id, address: address, group: group, connections: connections, open: open}
}

// ID returns the id of the instance.
func (i Instance) ID() string { return i.id }

// Address returns the host and port of the instance.
func (i Instance) Address() string { return i.address }

// Group returns the pool of the instance.
func (i Instance) Group() string { return i.group }

// Connections returns how many connections this entry may open to the instance.
func (i Instance) Connections() int { return i.connections }

// Open reports whether new sends to the instance may begin.
func (i Instance) Open() bool { return i.open }

// View is the part of the control state that the proxy needs. It is immutable.
type View struct {
	routes        map[string]Route
	instances     map[string]Instance
	checkMayStart func() error
}

// NewView returns a view. The proxy calls checkMayStart when a request arrives
// and right before each send, from any goroutine. It returns nil, or a typed
// fault that says why this entry must not start work. If checkMayStart is nil,
// work may always start.
func NewView(routes []Route, instances []Instance, checkMayStart func() error) *View {
	v := &View{
		routes:        make(map[string]Route, len(routes)),
		instances:     make(map[string]Instance, len(instances)),
		checkMayStart: checkMayStart,
	}
	if checkMayStart == nil {
		v.checkMayStart = func() error { return nil }
	}
	for _, r := range routes {
		v.routes[r.service] = r
	}
	for _, i := range instances {
		v.instances[i.id] = i
	}
	return v
}

// Route returns the route of a service.
func (v *View) Route(service string) (Route, bool) {
	r, ok := v.routes[service]
	return r, ok
}

// Instance returns an instance by its id.
func (v *View) Instance(id string) (Instance, bool) {
	i, ok := v.instances[id]
	return i, ok
}

// accepts reports whether new requests of the group may go to the instance.
func (v *View) accepts(group, id string) bool {
	i, ok := v.instances[id]
	return ok && i.open && i.group == group
}
