package crantraffic

import (
	"time"
)

// Route says how the requests of one service are run.
type Route struct {
	service     string
	group       string
	maxDuration time.Duration // longest run of one request at a target, above zero
	maxQueue    int           // requests that may wait for a slot, zero or more
}

// NewRoute returns the route of a service to the pool that runs it.
func NewRoute(service, group string, maxDuration time.Duration, maxQueue int) Route {
	return Route{service: service, group: group, maxDuration: maxDuration, maxQueue: maxQueue}
}

// Service returns the name of the service.
func (r Route) Service() string { return r.service }

// Group returns the name of the pool that runs the service.
func (r Route) Group() string { return r.group }

// MaxDuration returns the longest run of one request at a target.
func (r Route) MaxDuration() time.Duration { return r.maxDuration }

// MaxQueue returns how many requests may wait for a slot.
func (r Route) MaxQueue() int { return r.maxQueue }

// Instance is a target as the traffic threads see it.
type Instance struct {
	id          string
	address     string // host:port
	group       string
	connections int  // open connections that this entry may have to it, above zero
	open        bool // false from the cordon on: no new send may begin
}

// NewInstance returns a target. Connections is this entry's share of the
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

// Connections returns how many connections this entry may open to it.
func (i Instance) Connections() int { return i.connections }

// Open reports whether new sends to the instance may begin.
func (i Instance) Open() bool { return i.open }

// View is what the traffic threads know of the control state. It is never
// changed after NewView.
type View struct {
	routes    map[string]Route
	instances map[string]Instance
	mayServe  func() error
}

// NewView returns a view. The front calls mayServe right before each send, on
// any traffic thread; it returns nil or a typed fault that says why this entry
// must not start work. A nil mayServe always allows.
func NewView(routes []Route, instances []Instance, mayServe func() error) *View {
	v := &View{
		routes:    make(map[string]Route, len(routes)),
		instances: make(map[string]Instance, len(instances)),
		mayServe:  mayServe,
	}
	if mayServe == nil {
		v.mayServe = func() error { return nil }
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

// accepts reports whether new sends of the group may go to the instance.
func (v *View) accepts(group, id string) bool {
	i, ok := v.instances[id]
	return ok && i.open && i.group == group
}
