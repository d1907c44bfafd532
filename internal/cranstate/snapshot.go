package cranstate

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranslot"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// snapshotVersion is incremented when the layout of the snapshot changes.
const snapshotVersion = 1

type wireState struct {
	Version        int                          `cbor:"version"`
	Next           uint64                       `cbor:"next"`
	NowMs          int64                        `cbor:"nowMs"`
	Revision       uint64                       `cbor:"revision"`
	Config         []byte                       `cbor:"config"`
	Members        []wireMember                 `cbor:"members"`
	Instances      []wireInstance               `cbor:"instances"`
	Leases         map[string]wireLease         `cbor:"leases"`
	Waves          []wireWave                   `cbor:"waves"`
	HighWaterMarks map[string]wireHighWaterMark `cbor:"marks"`
	Malformed      uint64                       `cbor:"malformed"`
	RoutingVersion uint64                       `cbor:"routed"`
	Moves          uint64                       `cbor:"moves"`
}

type wireMember struct {
	Incarnation string `cbor:"incarnation"`
	Instance    string `cbor:"instance"`
	Address     string `cbor:"address"`
	DataCentre  string `cbor:"dataCentre"`
	LeaseMs     int64  `cbor:"leaseMs"`
	ExpiryMs    int64  `cbor:"expiryMs"`
	Revision    uint64 `cbor:"revision"`
	Joined      uint64 `cbor:"joined"`
	Gone        bool   `cbor:"gone"`
}

type wireInstance struct {
	ID           string           `cbor:"id"`
	Address      string           `cbor:"address"`
	Domain       string           `cbor:"domain"`
	DataCentre   string           `cbor:"dataCentre"`
	ReportedPool string           `cbor:"hint"`
	Pool         string           `cbor:"pool"`
	Phase        Phase            `cbor:"phase"`
	Healthy      bool             `cbor:"healthy"`
	Boots        int              `cbor:"boots"`
	Slots        int              `cbor:"slots"`
	Connections  int              `cbor:"connections"`
	Version      uint64           `cbor:"version"`
	Stop         *wireStop        `cbor:"stop"`
	SlotOwners   []cranslot.Owner `cbor:"homes"`
	Wave         uint64           `cbor:"wave"`
	SinceMs      int64            `cbor:"sinceMs"`
}

type wireStop struct {
	ID         uint64   `cbor:"id"`
	Kind       StopKind `cbor:"kind"`
	Pool       string   `cbor:"pool"`
	Wave       uint64   `cbor:"wave"`
	Boots      int      `cbor:"boots"`
	ActionDone bool     `cbor:"acted"`
	Waiting    []string `cbor:"waiting"`
}

type wireLease struct {
	Holder   string `cbor:"holder"`
	Token    uint64 `cbor:"token"`
	ExpiryMs int64  `cbor:"expiryMs"`
}

type wireWave struct {
	ID          uint64    `cbor:"id"`
	Pools       []string  `cbor:"pools"`
	MaxFailures int       `cbor:"maxFailures"`
	Phase       WavePhase `cbor:"phase"`
	Pending     []string  `cbor:"pending"`
	Active      []string  `cbor:"active"`
	Done        []string  `cbor:"done"`
	Failed      []string  `cbor:"failed"`
	Failures    int       `cbor:"failures"`
}

type wireHighWaterMark struct {
	Seq    uint64 `cbor:"seq"`
	SeenMs int64  `cbor:"seenMs"`
}

// Encode returns the encoded state. Equal states have the same encoding at every
// entry instance.
func (s *State) Encode() ([]byte, error) {
	w := wireState{
		Version: snapshotVersion, Next: s.next, NowMs: s.nowMs, Revision: s.revision,
		Leases: map[string]wireLease{}, HighWaterMarks: map[string]wireHighWaterMark{},
		Malformed: s.malformed, Moves: s.moves, RoutingVersion: s.routingVersion,
	}
	if s.config != nil {
		w.Config = s.config.Encode()
	}
	for _, id := range sortedKeys(s.members) {
		w.Members = append(w.Members, encodeMember(s.members[id]))
	}
	for _, in := range s.sortedInstances() {
		w.Instances = append(w.Instances, encodeInstance(in))
	}
	for shard, l := range s.leases {
		w.Leases[shard] = wireLease{Holder: l.holder, Token: l.token, ExpiryMs: l.expiryMs}
	}
	for _, id := range sortedKeys(s.waves) {
		w.Waves = append(w.Waves, encodeWave(s.waves[id]))
	}
	for writer, m := range s.highWaterMarks {
		w.HighWaterMarks[writer] = wireHighWaterMark{Seq: m.seq, SeenMs: m.seenMs}
	}
	return encMode.Marshal(w)
}

// Digest returns a hash of the encoded state, for comparing the states of entry
// instances.
func (s *State) Digest() (uint64, error) {
	data, err := s.Encode()
	if err != nil {
		return 0, err
	}
	return xxhash.Sum64(data), nil
}

// Decode decodes what Encode returned. It returns a fault of kind malformed for
// anything else.
func Decode(data []byte) (*State, error) {
	var w wireState
	if err := decMode.Unmarshal(data, &w); err != nil {
		return nil, malformed("snapshot: %v", err)
	}
	if w.Version != snapshotVersion {
		return nil, cranfault.New(cranfault.Malformed, "start from another snapshot or update this program",
			"snapshot has version %d, but version %d is expected", w.Version, snapshotVersion)
	}
	s := New()
	s.next, s.nowMs, s.revision = w.Next, w.NowMs, w.Revision
	s.malformed, s.moves, s.routingVersion = w.Malformed, w.Moves, w.RoutingVersion
	if len(w.Config) > 0 {
		config, err := cranfleet.Decode(w.Config)
		if err != nil {
			return nil, malformed("snapshot: %v", err)
		}
		s.config = config
	}
	for _, m := range w.Members {
		s.members[m.Incarnation] = decodeMember(m)
	}
	for _, in := range w.Instances {
		s.addInstance(decodeInstance(in))
	}
	for shard, l := range w.Leases {
		s.leases[shard] = Lease{holder: l.Holder, token: l.Token, expiryMs: l.ExpiryMs}
	}
	for _, v := range w.Waves {
		s.waves[v.ID] = decodeWave(v)
	}
	for writer, m := range w.HighWaterMarks {
		s.highWaterMarks[writer] = highWaterMark{seq: m.Seq, seenMs: m.SeenMs}
	}
	return s, nil
}

func encodeMember(m *member) wireMember {
	return wireMember{
		Incarnation: m.incarnation, Instance: m.instance, Address: m.address, DataCentre: m.dataCentre,
		LeaseMs: m.leaseMs, ExpiryMs: m.expiryMs, Revision: m.revision, Joined: m.joined, Gone: m.gone,
	}
}

func decodeMember(m wireMember) *member {
	return &member{
		incarnation: m.Incarnation, instance: m.Instance, address: m.Address, dataCentre: m.DataCentre,
		leaseMs: m.LeaseMs, expiryMs: m.ExpiryMs, revision: m.Revision, joined: m.Joined, gone: m.Gone,
	}
}

func encodeInstance(in *instance) wireInstance {
	w := wireInstance{
		ID: in.id, Address: in.address, Domain: in.domain, DataCentre: in.dataCentre,
		ReportedPool: in.reportedPool, Pool: in.pool, Phase: in.phase, Healthy: in.healthy, Boots: in.boots,
		Slots: in.slots, Connections: in.connections, Version: in.version,
		SlotOwners: in.slotOwners, Wave: in.wave, SinceMs: in.sinceMs,
	}
	if in.stop != nil {
		w.Stop = &wireStop{
			ID: in.stop.id, Kind: in.stop.kind, Pool: in.stop.pool, Wave: in.stop.wave,
			Boots: in.stop.boots, ActionDone: in.stop.actionDone, Waiting: sortedKeys(in.stop.waiting),
		}
	}
	return w
}

func decodeInstance(w wireInstance) *instance {
	in := &instance{
		id: w.ID, address: w.Address, domain: w.Domain, dataCentre: w.DataCentre,
		reportedPool: w.ReportedPool, pool: w.Pool, phase: w.Phase, healthy: w.Healthy, boots: w.Boots,
		slots: w.Slots, connections: w.Connections, version: w.Version,
		slotOwners: w.SlotOwners, wave: w.Wave, sinceMs: w.SinceMs,
	}
	if w.Stop != nil {
		in.stop = &stop{
			id: w.Stop.ID, kind: w.Stop.Kind, pool: w.Stop.Pool, wave: w.Stop.Wave,
			boots: w.Stop.Boots, actionDone: w.Stop.ActionDone, waiting: keySet(w.Stop.Waiting),
		}
	}
	return in
}

func encodeWave(w *wave) wireWave {
	return wireWave{
		ID: w.id, Pools: w.pools, MaxFailures: w.maxFailures, Phase: w.phase,
		Pending: sortedKeys(w.pending), Active: sortedKeys(w.active),
		Done: sortedKeys(w.done), Failed: sortedKeys(w.failed), Failures: w.failures,
	}
}

func decodeWave(w wireWave) *wave {
	return &wave{
		id: w.ID, pools: w.Pools, maxFailures: w.MaxFailures, phase: w.Phase,
		pending: keySet(w.Pending), active: keySet(w.Active),
		done: keySet(w.Done), failed: keySet(w.Failed), failures: w.Failures,
	}
}

// sortedKeys returns the keys of a map in ascending order, and nil for an empty
// map. Iterating over them keeps the reducer deterministic.
func sortedKeys[K cmp.Ordered, V any](set map[K]V) []K { return slices.Sorted(maps.Keys(set)) }

func keySet(keys []string) map[string]bool {
	set := make(map[string]bool, len(keys))
	for _, k := range keys {
		set[k] = true
	}
	return set
}
