package cranentry

import (
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/internal/crantraffic"
)

// trafficView returns the view of the state for the traffic proxy.
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
		instances = append(instances, crantraffic.NewInstance(in.ID(), in.Address(), in.Pool(), share, acceptsRequests(in)))
	}
	return crantraffic.NewView(routes, instances, mayServe)
}

// slotView returns the view of the state for the slot broker.
func slotView(s *cranstate.State) cranslot.View {
	var members []string
	for _, m := range s.Members() {
		members = append(members, m.Incarnation())
	}
	var instances []cranslot.InstanceView
	for _, in := range s.Instances() {
		instances = append(instances, cranslot.InstanceView{
			ID: in.ID(), Group: in.Pool(), Open: acceptsRequests(in), Owners: in.SlotOwners(),
		})
	}
	return cranslot.NewView(s.Next(), members, instances)
}

// acceptsRequests reports whether an instance may receive new requests.
func acceptsRequests(in cranstate.Instance) bool { return in.Phase() == cranstate.PhaseServing }
