package cranstate

import (
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// State is the control state after a prefix of the log. It is not safe for
// concurrent use: one goroutine owns it and hands out copies.
type State struct {
	// next is the offset of the next record to apply.
	next uint64
	// nowMs is the highest timestamp of the records applied, in milliseconds
	// since the epoch.
	nowMs int64
	// revision is the offset after the record that put config in force, and
	// zero while there is none; it never decreases.
	revision uint64
	// config is nil while revision is zero.
	config *cranfleet.Config
	// members is keyed by incarnation.
	members map[string]*member
	// instances is keyed by the platform's id.
	instances map[string]*instance
	// sortedCache holds the instances in order of id, or is nil if it has to be
	// built anew.
	sortedCache []*instance
	// stops holds the instances with a planned stop, by the platform's id.
	stops map[string]*instance
	// leases is keyed by shard.
	leases map[string]Lease
	// waves is keyed by id and holds the waves in progress and the most recent
	// ended ones.
	waves map[uint64]*wave
	// highWaterMarks is keyed by writer.
	highWaterMarks map[string]highWaterMark
	// malformed counts the records that could not be decoded.
	malformed uint64
	// moves counts the completed moves of instances between pools.
	moves uint64
	// routingVersion is the offset after the last record that changed what
	// routing and slot assignment depend on.
	routingVersion uint64
}

// highWaterMark is the highest sequence number applied of one writer. Repeats of
// its records are recognised by it and dropped.
type highWaterMark struct {
	seq uint64
	// seenMs is the platform's time of the writer's last record. An outage of
	// the log postpones it.
	seenMs int64
}

// New returns the empty state before the first record.
func New() *State {
	return &State{
		members:        map[string]*member{},
		instances:      map[string]*instance{},
		stops:          map[string]*instance{},
		leases:         map[string]Lease{},
		waves:          map[uint64]*wave{},
		highWaterMarks: map[string]highWaterMark{},
	}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// NowMs returns the highest timestamp of the records applied, in milliseconds
// since the epoch of the platform's clock.
func (s *State) NowMs() int64 { return s.nowMs }

// Revision returns the revision of the configuration in force, zero if none.
func (s *State) Revision() uint64 { return s.revision }

// Config returns the configuration in force, nil if none.
func (s *State) Config() *cranfleet.Config { return s.config }

// MalformedRecords returns how many records could not be decoded.
func (s *State) MalformedRecords() uint64 { return s.malformed }

// Moves returns how many moves of instances between pools were completed.
func (s *State) Moves() uint64 { return s.moves }

// RoutingVersion returns the offset after the last record that changed routes,
// instances, pools, slot owners or members. A view made at this offset or later
// is up to date.
func (s *State) RoutingVersion() uint64 { return s.routingVersion }

// Members returns the members in order of incarnation.
func (s *State) Members() []Member {
	list := make([]Member, 0, len(s.members))
	for _, id := range sortedKeys(s.members) {
		list = append(list, s.memberView(s.members[id]))
	}
	return list
}

// Member returns the member with the incarnation, if there is one.
func (s *State) Member(incarnation string) (Member, bool) {
	m, ok := s.members[incarnation]
	if !ok {
		return Member{}, false
	}
	return s.memberView(m), true
}

// Instances returns the instances in order of id.
func (s *State) Instances() []Instance {
	list := make([]Instance, 0, len(s.instances))
	for _, in := range s.sortedInstances() {
		list = append(list, Instance{in: in})
	}
	return list
}

// InstancesWithStop returns the instances with a planned stop in progress, in
// order of id.
func (s *State) InstancesWithStop() []Instance {
	var list []Instance
	for _, in := range s.instancesWithStop() {
		list = append(list, Instance{in: in})
	}
	return list
}

// Instance returns the instance with the id, if there is one.
func (s *State) Instance(id string) (Instance, bool) {
	in, ok := s.instances[id]
	return Instance{in: in}, ok
}

// Lease returns the last lease on a shard, which may have expired. It returns
// false if there was none, or if its holder released it or left.
func (s *State) Lease(shard string) (Lease, bool) {
	l, ok := s.leases[shard]
	return l, ok
}

// Waves returns the waves in progress and the most recent ended ones, in order of
// id.
func (s *State) Waves() []Wave {
	list := make([]Wave, 0, len(s.waves))
	for _, id := range sortedKeys(s.waves) {
		list = append(list, Wave{w: s.waves[id]})
	}
	return list
}

// sortedInstances returns the instances in order of id, which keeps iteration by
// the reducer deterministic.
func (s *State) sortedInstances() []*instance {
	if s.sortedCache == nil {
		s.sortedCache = make([]*instance, 0, len(s.instances))
		for _, id := range sortedKeys(s.instances) {
			s.sortedCache = append(s.sortedCache, s.instances[id])
		}
	}
	return s.sortedCache
}

// instancesWithStop returns the instances with a planned stop, in order of id.
func (s *State) instancesWithStop() []*instance {
	if len(s.stops) == 0 {
		return nil
	}
	list := make([]*instance, 0, len(s.stops))
	for _, id := range sortedKeys(s.stops) {
		list = append(list, s.stops[id])
	}
	return list
}

// addInstance adds an instance and its planned stop, if any.
func (s *State) addInstance(in *instance) {
	s.instances[in.id] = in
	s.sortedCache = nil
	if in.stop != nil {
		s.stops[in.id] = in
	}
}

// deleteInstance removes an instance and its planned stop, if any.
func (s *State) deleteInstance(in *instance) {
	delete(s.instances, in.id)
	delete(s.stops, in.id)
	s.sortedCache = nil
}

// setStop sets the planned stop of an instance, or clears it if st is nil.
func (s *State) setStop(in *instance, st *stop) {
	in.stop = st
	if st == nil {
		delete(s.stops, in.id)
		return
	}
	s.stops[in.id] = in
}
