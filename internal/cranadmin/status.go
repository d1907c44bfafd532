package cranadmin

import "github.com/cranberrypick/cranberrypick/internal/cranstate"

// Status is what an entry knows of the fleet.
type Status struct {
	Entry      string `json:"entry"`
	Ready      bool   `json:"ready"`
	NotReady   string `json:"notReady,omitempty"`
	NextOffset uint64 `json:"next"`
	NowMs      int64  `json:"nowMs"`
	Revision   uint64 `json:"revision"`
	// MembersInForce is how many members reported that revision.
	MembersInForce   int              `json:"inForce"`
	Moves            uint64           `json:"moves"`
	MalformedRecords uint64           `json:"malformed"`
	EffectsHolder    string           `json:"effects,omitempty"`
	Members          []MemberStatus   `json:"members"`
	Pools            []PoolStatus     `json:"pools"`
	Instances        []InstanceStatus `json:"instances"`
	Waves            []WaveStatus     `json:"waves"`
	// Config is the printed configuration in force.
	Config string `json:"config,omitempty"`
}

// MemberStatus is one entry instance.
type MemberStatus struct {
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Live        bool   `json:"live"`
	Revision    uint64 `json:"revision"`
}

// PoolStatus is one pool.
type PoolStatus struct {
	Name         string `json:"name"`
	Wanted       int    `json:"wanted"`
	Instances    int    `json:"instances"`
	Available    int    `json:"available"`
	MinAvailable int    `json:"floor"`
}

// InstanceStatus is one instance.
type InstanceStatus struct {
	ID      string          `json:"id"`
	Address string          `json:"address"`
	Pool    string          `json:"pool"`
	Domain  string          `json:"domain"`
	Phase   cranstate.Phase `json:"phase"`
	Healthy bool            `json:"healthy"`
	Boots   int             `json:"boots"`
	Version uint64          `json:"version"`
}

// WaveStatus is one maintenance wave.
type WaveStatus struct {
	ID       uint64              `json:"id"`
	Pools    []string            `json:"pools"`
	Phase    cranstate.WavePhase `json:"phase"`
	Pending  int                 `json:"pending"`
	Active   []string            `json:"active"`
	Done     int                 `json:"done"`
	Failed   []string            `json:"failed"`
	Failures int                 `json:"failures"`
}

// StatusOf copies what operators see out of a state.
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
