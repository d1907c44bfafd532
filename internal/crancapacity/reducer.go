package crancapacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranpack"
	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

const (
	// instancesPerPool is the size of a pool: 7,900 workers in 359 pools.
	instancesPerPool = 22
	// slotsPerInstance is the brief's number of slots.
	slotsPerInstance = 8
	// eventsMeasured is how many events of a kind are timed.
	eventsMeasured = 2000
)

// EventCost is what one kind of event costs.
type EventCost struct {
	Kind  string  `json:"kind"`
	Bytes int     `json:"bytes"`
	Nanos float64 `json:"nanos"`
}

// ReducerCost is what the control state costs at a number of instances.
type ReducerCost struct {
	Instances     int         `json:"instances"`
	Members       int         `json:"members"`
	HeapBytes     uint64      `json:"heapBytes"`
	SnapshotBytes int         `json:"snapshotBytes"`
	PackedBytes   int         `json:"packedBytes"`
	EncodeMs      float64     `json:"encodeMs"`
	PackMs        float64     `json:"packMs"`
	DecodeMs      float64     `json:"decodeMs"`
	ConfigBytes   int         `json:"configBytes"`
	Events        []EventCost `json:"events"`
}

// feeder appends events to a state as a log would.
type feeder struct {
	state *cranstate.State
	nowMs int64
	seq   map[string]uint64
}

// prepare encodes an event as the next record.
func (f *feeder) prepare(writer string, e cranstate.Event) (cranstate.Input, error) {
	body, err := cranstate.EncodeEvent(e)
	if err != nil {
		return cranstate.Input{}, err
	}
	f.seq[writer]++
	return cranstate.Input{Offset: f.state.Next(), TimeMs: f.nowMs, Writer: writer, Seq: f.seq[writer], Body: body}, nil
}

func (f *feeder) send(writer string, e cranstate.Event) error {
	in, err := f.prepare(writer, e)
	if err != nil {
		return err
	}
	effects, err := f.state.Apply(in)
	if err != nil {
		return err
	}
	for _, effect := range effects {
		if r, ok := effect.(cranstate.Refused); ok {
			return r.Fault
		}
	}
	return nil
}

// MeasureReducer builds a fleet of that many instances and measures it.
func MeasureReducer(instances, members int) (ReducerCost, error) {
	before := heap()
	f := &feeder{state: cranstate.New(), nowMs: 1, seq: map[string]uint64{}}
	config, err := f.build(instances, members)
	if err != nil {
		return ReducerCost{}, err
	}
	cost := ReducerCost{Instances: instances, Members: members, ConfigBytes: len(config)}
	cost.HeapBytes = heap() - before
	if err := cost.snapshot(f.state); err != nil {
		return cost, err
	}
	return cost, cost.events(f, config)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// build brings a fleet into service.
func (f *feeder) build(instances, members int) ([]byte, error) {
	config, err := fleetConfig(instances)
	if err != nil {
		return nil, err
	}
	for i := range members {
		id := fmt.Sprintf("entry-%03d-0123456789abcdef", i)
		err := f.send(id, cranstate.MemberJoined{Instance: id[:9], Address: "10.0.0.1:8081", DataCentre: "dc-1", LeaseMs: 4000})
		if err != nil {
			return nil, err
		}
	}
	if err := f.send("operator", cranstate.ConfigPublished{Config: config}); err != nil {
		return nil, err
	}
	for i := range instances {
		if err := f.addInstance(i); err != nil {
			return nil, err
		}
	}
	return config, nil
}

func fleetConfig(instances int) ([]byte, error) {
	options := []cranfleet.Option{cranfleet.WithSpare("spare")}
	for p := range max(instances/instancesPerPool, 1) {
		pool, service := fmt.Sprintf("pool%d", p), fmt.Sprintf("service%d", p)
		options = append(options, cranfleet.WithPool(pool, instancesPerPool),
			cranfleet.WithService(service, pool, cranfleet.MaxUnavailable(2)))
	}
	config, err := cranfleet.New("capacity", options...)
	if err != nil {
		return nil, err
	}
	return config.Encode(), nil
}

const firstMember = "entry-000-0123456789abcdef"

func instanceID(i int) string { return fmt.Sprintf("worker-%05d", i) }

func observation(i, boots int) cranstate.Observation {
	return cranstate.Observation{
		ID: instanceID(i), Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
		Domain: fmt.Sprintf("rack-%d", i/4), DataCentre: fmt.Sprintf("dc-%d", i%19),
		Pool: fmt.Sprintf("pool%d", i/instancesPerPool), Phase: cranplatform.PhaseLive,
		Boots: boots, Slots: slotsPerInstance, Connections: 64,
	}
}

func (f *feeder) addInstance(i int) error {
	if err := f.send(firstMember, cranstate.InstancesObserved{Instances: []cranstate.Observation{observation(i, 1)}}); err != nil {
		return err
	}
	return f.send(firstMember, probed(i, true))
}

func probed(i int, healthy bool) cranstate.Event {
	return cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: instanceID(i), Boots: 1, Healthy: healthy}}}
}

func (c *ReducerCost) snapshot(s *cranstate.State) error {
	start := time.Now()
	data, err := s.Encode()
	if err != nil {
		return err
	}
	c.EncodeMs = millis(time.Since(start))
	c.SnapshotBytes = len(data)
	start = time.Now()
	packed, err := cranpack.Pack(data)
	if err != nil {
		return err
	}
	c.PackMs = millis(time.Since(start))
	c.PackedBytes = len(packed)
	start = time.Now()
	_, err = cranstate.Decode(data)
	c.DecodeMs = millis(time.Since(start))
	return err
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// events times each kind of event that occurs in quantity.
func (c *ReducerCost) events(f *feeder, config []byte) error {
	kinds := []struct {
		name string
		make func(n int) cranstate.Event
	}{
		{"heartbeat", func(int) cranstate.Event { return cranstate.Heartbeat{Revision: f.state.Revision()} }},
		{"leaseRequested", func(int) cranstate.Event { return cranstate.LeaseRequested{Shard: "effects", DurationMs: 4000} }},
		{"instancesObserved", func(n int) cranstate.Event {
			return cranstate.InstancesObserved{Instances: []cranstate.Observation{observation(n%c.Instances, 1)}}
		}},
		{"probesObserved", func(n int) cranstate.Event { return probed(n/2%c.Instances, n%2 == 1) }},
		{"stopProposed", func(n int) cranstate.Event {
			id := instanceID(n / 2 % c.Instances)
			if n%2 == 1 {
				return cranstate.StopCancelled{Instance: id}
			}
			return cranstate.StopProposed{Instance: id, Kind: cranstate.StopReboot}
		}},
		{"configPublished", func(int) cranstate.Event {
			return cranstate.ConfigPublished{Base: f.state.Revision(), Config: config}
		}},
	}
	for _, k := range kinds {
		cost, err := f.time(k.name, k.make)
		if err != nil {
			return err
		}
		c.Events = append(c.Events, cost)
	}
	return nil
}

func (f *feeder) time(name string, event func(n int) cranstate.Event) (EventCost, error) {
	cost := EventCost{Kind: name}
	var spent time.Duration
	for n := range eventsMeasured {
		in, err := f.prepare(firstMember, event(n))
		if err != nil {
			return cost, err
		}
		cost.Bytes = max(cost.Bytes, len(in.Body))
		start := time.Now()
		if _, err := f.state.Apply(in); err != nil {
			return cost, err
		}
		spent += time.Since(start)
	}
	cost.Nanos = float64(spent.Nanoseconds()) / eventsMeasured
	return cost, nil
}
