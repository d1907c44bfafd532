package cranadmin

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// Status is the state of the fleet as an entry instance knows it.
type Status struct {
	// Entry is the incarnation of the entry instance that answers.
	Entry string `json:"entry"`
	Ready bool   `json:"ready"`
	// NotReady is the reason why the entry instance is not ready.
	NotReady string `json:"notReady,omitempty"`
	// NextOffset is the offset of the next record to apply.
	NextOffset uint64 `json:"next"`
	// NowMs is the highest timestamp of the applied records, in milliseconds since
	// the epoch of the platform's clock.
	NowMs int64 `json:"nowMs"`
	// Revision is the revision of the configuration in force.
	Revision uint64 `json:"revision"`
	// MembersInForce is the number of members that report Revision in force.
	MembersInForce int `json:"inForce"`
	// Moves is the number of completed moves of instances between pools.
	Moves uint64 `json:"moves"`
	// MalformedRecords is the number of records that could not be decoded.
	MalformedRecords uint64 `json:"malformed"`
	// EffectsHolder is the incarnation that holds the effects lease, and so carries
	// out reboots and moves and writes snapshots. It is empty if there is none.
	EffectsHolder string           `json:"effects,omitempty"`
	Members       []MemberStatus   `json:"members"`
	Pools         []PoolStatus     `json:"pools"`
	Instances     []InstanceStatus `json:"instances"`
	Waves         []WaveStatus     `json:"waves"`
	// Config is the encoded configuration in force.
	Config string `json:"config,omitempty"`
}

// MemberStatus is the state of one entry instance.
type MemberStatus struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Live        bool   `json:"live"`
	// Revision is the revision that the member last reported in force.
	Revision uint64 `json:"revision"`
}

// PoolStatus is the state of one pool.
type PoolStatus struct {
	Name string `json:"name"`
	// Wanted is the size of the pool in the configuration.
	Wanted    int `json:"wanted"`
	Instances int `json:"instances"`
	Available int `json:"available"`
	// MinAvailable is the number of instances that must stay available for the
	// strictest availability budget of the pool's services.
	MinAvailable int `json:"floor"`
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	ID      string          `json:"id"`
	Address string          `json:"address"`
	Pool    string          `json:"pool"`
	Domain  string          `json:"domain"`
	Phase   cranstate.Phase `json:"phase"`
	// Healthy is set if the instance passed its last health probe.
	Healthy bool `json:"healthy"`
	// Boots is the platform's count of the boots of the instance.
	Boots int `json:"boots"`
	// Version is the offset after the last record that changed the phase or the
	// health of the instance.
	Version uint64 `json:"version"`
}

// WaveStatus is the state of one maintenance wave.
type WaveStatus struct {
	ID    uint64              `json:"id"`
	Pools []string            `json:"pools"`
	Phase cranstate.WavePhase `json:"phase"`
	// Pending is the number of instances that the wave has not yet started to stop.
	Pending int `json:"pending"`
	// Active has the ids of the instances that are being stopped or returning.
	Active []string `json:"active"`
	// Done is the number of instances that were rebooted and are back in service.
	Done int `json:"done"`
	// Failed has the ids of the instances that failed during the wave.
	Failed []string `json:"failed"`
	// Failures is the number of failures since the wave started or was last resumed.
	Failures int `json:"failures"`
}

// StatusOf returns the status of a state. It leaves Entry, Ready and NotReady
// unset, since they are not replicated.
func StatusOf(s *cranstate.State) Status {
	st := Status{
		NextOffset: s.Next(), NowMs: s.NowMs(), Revision: s.Revision(),
		Moves: s.Moves(), MalformedRecords: s.MalformedRecords(),
		Members: []MemberStatus{}, Pools: []PoolStatus{}, Instances: []InstanceStatus{}, Waves: []WaveStatus{},
	}
	if l, ok := s.Lease("effects"); ok {
		st.EffectsHolder = l.Holder()
	}
	st.addMembers(s)
	st.addInstances(s)
	st.addPools(s)
	st.addWaves(s)
	return st
}

func (st *Status) addMembers(s *cranstate.State) {
	for _, m := range s.Members() {
		st.Members = append(st.Members, MemberStatus{
			Incarnation: m.Incarnation(), Address: m.Address(), DataCentre: m.DataCentre(),
			Live: m.Live(), Revision: m.Revision(),
		})
		if m.Revision() == s.Revision() {
			st.MembersInForce++
		}
	}
}

func (st *Status) addInstances(s *cranstate.State) {
	for _, in := range s.Instances() {
		st.Instances = append(st.Instances, InstanceStatus{
			ID: in.ID(), Address: in.Address(), Pool: in.Pool(), Domain: in.Domain(),
			Phase: in.Phase(), Healthy: in.Healthy(), Boots: in.Boots(), Version: in.Version(),
		})
	}
}

func (st *Status) addPools(s *cranstate.State) {
	config := s.Config()
	if config == nil {
		return
	}
	st.Config = string(config.Encode())
	available := s.AvailableByPool()
	counts := map[string]int{}
	for _, in := range s.Instances() {
		counts[in.Pool()]++
	}
	for _, p := range config.Pools() {
		st.Pools = append(st.Pools, PoolStatus{
			Name: p.Name(), Wanted: p.Instances(), Instances: counts[p.Name()],
			Available: available[p.Name()], MinAvailable: s.MinAvailable(p.Name()),
		})
	}
}

func (st *Status) addWaves(s *cranstate.State) {
	for _, w := range s.Waves() {
		st.Waves = append(st.Waves, WaveStatus{
			ID: w.ID(), Pools: w.Pools(), Phase: w.Phase(), Pending: len(w.Pending()),
			Active: w.Active(), Done: w.Done(), Failed: w.Failed(), Failures: w.Failures(),
		})
	}
}
