package cranentry

import (
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// trafficView returns what the traffic threads need of the state.
func trafficView(s *cranstate.State, mayServe func() error) *crantraffic.View {
	var routes []crantraffic.Route
	if config := s.Config(); config != nil {
		for _, svc := range config.Services() {
			routes = append(routes, crantraffic.NewRoute(svc.Name(), svc.Pool(), svc.MaxDuration(), svc.MaxQueue()))
		}
	}
	var instances []crantraffic.Instance
	members := max(len(s.Members()), 1)
	for _, in := range s.Instances() {
		share := max(in.Connections()/members, 1)
		instances = append(instances, crantraffic.NewInstance(in.ID(), in.Address(), in.Pool(), share, open(in)))
	}
	return crantraffic.NewView(routes, instances, mayServe)
}

// slotView returns what the slot broker needs of the state.
func slotView(s *cranstate.State) cranslot.View {
	var members []string
	for _, m := range s.Members() {
		members = append(members, m.Incarnation())
	}
	var instances []cranslot.InstanceView
	for _, in := range s.Instances() {
		instances = append(instances, cranslot.InstanceView{
			ID: in.ID(), Group: in.Pool(), Open: open(in), Homes: in.SlotOwners(),
		})
	}
	return cranslot.NewView(s.Next(), members, instances)
}

// open reports whether an instance takes new requests.
func open(in cranstate.Instance) bool { return in.Phase() == cranstate.PhaseServing }
