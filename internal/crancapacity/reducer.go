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
	// instancesPerPool is the size of a pool. It makes 359 pools of 7,900 instances, the
	// design size.
	instancesPerPool = 22
	// slotsPerInstance is the number of slots of an instance in the requirements.
	slotsPerInstance = 8
	// eventCount is how many events of each kind are timed.
	eventCount = 2000
)

// EventCost holds the cost of one kind of event: the size of its largest record and the mean
// time to apply it.
type EventCost struct {
	Kind  string  `json:"kind"`
	Bytes int     `json:"bytes"`
	Nanos float64 `json:"nanos"`
}

// ReducerCost holds the cost of the control state with a number of instances.
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

// appender applies events to a state, in the way the replicated log does.
type appender struct {
	state *cranstate.State
	nowMs int64
	seq   map[string]uint64
}

// prepare encodes an event as the next record of its writer.
func (a *appender) prepare(writer string, e cranstate.Event) (cranstate.Input, error) {
	body, err := cranstate.EncodeEvent(e)
	if err != nil {
		return cranstate.Input{}, err
	}
	a.seq[writer]++
	return cranstate.Input{Offset: a.state.Next(), TimeMs: a.nowMs, Writer: writer, Seq: a.seq[writer], Body: body}, nil
}

// send applies an event. A refusal by the reducer is an error.
func (a *appender) send(writer string, e cranstate.Event) error {
	in, err := a.prepare(writer, e)
	if err != nil {
		return err
	}
	effects, err := a.state.Apply(in)
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

// MeasureReducer builds the control state of that many instances and members, and measures its
// heap, its snapshot and its events.
func MeasureReducer(instances, members int) (ReducerCost, error) {
	before := heapBytes()
	a := &appender{state: cranstate.New(), nowMs: 1, seq: map[string]uint64{}}
	config, err := a.build(instances, members)
	if err != nil {
		return ReducerCost{}, err
	}
	cost := ReducerCost{Instances: instances, Members: members, ConfigBytes: len(config)}
	cost.HeapBytes = heapBytes() - before
	if err := cost.measureSnapshot(a.state); err != nil {
		return cost, err
	}
	return cost, cost.measureEvents(a, config)
}

// heapBytes returns the size of the heap after two garbage collections.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// build joins the members, publishes the configuration and makes all instances available. It
// returns the configuration.
func (a *appender) build(instances, members int) ([]byte, error) {
	config, err := fleetConfig(instances)
	if err != nil {
		return nil, err
	}
	for i := range members {
		id := fmt.Sprintf("entry-%03d-0123456789abcdef", i)
		err := a.send(id, cranstate.MemberJoined{Instance: id[:9], Address: "10.0.0.1:8081", DataCentre: "dc-1", LeaseMs: 4000})
		if err != nil {
			return nil, err
		}
	}
	if err := a.send("operator", cranstate.ConfigPublished{Config: config}); err != nil {
		return nil, err
	}
	for i := range instances {
		if err := a.addInstance(i); err != nil {
			return nil, err
		}
	}
	return config, nil
}

// fleetConfig returns the encoded configuration of a fleet.
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

// firstMember is the id of the member that reports observations.
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

// addInstance reports the i-th instance and a successful probe of it.
func (a *appender) addInstance(i int) error {
	if err := a.send(firstMember, cranstate.InstancesObserved{Instances: []cranstate.Observation{observation(i, 1)}}); err != nil {
		return err
	}
	return a.send(firstMember, probeEvent(i, true))
}

// probeEvent returns the event that reports the result of one probe of the i-th instance.
func probeEvent(i int, healthy bool) cranstate.Event {
	return cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: instanceID(i), Boots: 1, Healthy: healthy}}}
}

// measureSnapshot measures the size of a snapshot and the times to encode, compress and decode
// it.
func (c *ReducerCost) measureSnapshot(s *cranstate.State) error {
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

// measureEvents measures each kind of event that occurs frequently.
func (c *ReducerCost) measureEvents(a *appender, config []byte) error {
	kinds := []struct {
		name string
		make func(n int) cranstate.Event
	}{
		{"heartbeat", func(int) cranstate.Event { return cranstate.Heartbeat{Revision: a.state.Revision()} }},
		{"leaseRequested", func(int) cranstate.Event { return cranstate.LeaseRequested{Shard: "effects", DurationMs: 4000} }},
		{"instancesObserved", func(n int) cranstate.Event {
			return cranstate.InstancesObserved{Instances: []cranstate.Observation{observation(n%c.Instances, 1)}}
		}},
		{"probesObserved", func(n int) cranstate.Event { return probeEvent(n/2%c.Instances, n%2 == 1) }},
		{"stopProposed", func(n int) cranstate.Event {
			id := instanceID(n / 2 % c.Instances)
			if n%2 == 1 {
				return cranstate.StopCancelled{Instance: id}
			}
			return cranstate.StopProposed{Instance: id, Kind: cranstate.StopReboot}
		}},
		{"configPublished", func(int) cranstate.Event {
			return cranstate.ConfigPublished{Base: a.state.Revision(), Config: config}
		}},
	}
	for _, k := range kinds {
		cost, err := a.measureEvent(k.name, k.make)
		if err != nil {
			return err
		}
		c.Events = append(c.Events, cost)
	}
	return nil
}

// measureEvent applies eventCount events of one kind and returns their cost.
func (a *appender) measureEvent(name string, event func(n int) cranstate.Event) (EventCost, error) {
	cost := EventCost{Kind: name}
	var applyTime time.Duration
	for n := range eventCount {
		in, err := a.prepare(firstMember, event(n))
		if err != nil {
			return cost, err
		}
		cost.Bytes = max(cost.Bytes, len(in.Body))
		start := time.Now()
		if _, err := a.state.Apply(in); err != nil {
			return cost, err
		}
		applyTime += time.Since(start)
	}
	cost.Nanos = float64(applyTime.Nanoseconds()) / eventCount
	return cost, nil
}
