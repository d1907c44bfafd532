package cranwavesim

import (
	"fmt"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

const operator = "operator"

func memberID(i int) string       { return fmt.Sprintf("entry-%d-a", i) }
func poolName(p int) string       { return fmt.Sprintf("pool%03d", p) }
func instanceID(i int) string     { return fmt.Sprintf("worker-%05d", i) }
func domainOf(i int) string       { return fmt.Sprintf("rack-%04d", i/rackSize) }
func memberInstance(i int) string { return fmt.Sprintf("entry-%d", i) }

func (s Settings) config() ([]byte, error) {
	options := []cranfleet.Option{cranfleet.WithSpare("spare")}
	for p := range s.Pools {
		options = append(options,
			cranfleet.WithPool(poolName(p), s.sizeOf(p)),
			cranfleet.WithService(fmt.Sprintf("service%03d", p), poolName(p), cranfleet.MaxUnavailable(s.MaxUnavailable)))
	}
	config, err := cranfleet.New("waves", options...)
	if err != nil {
		return nil, err
	}
	return config.Encode(), nil
}

func (s Settings) observation(i, boots int) cranstate.Observation {
	return cranstate.Observation{
		ID: instanceID(i), Address: "127.0.0.1:1", Domain: domainOf(i), DataCentre: "dc-1",
		Pool: poolName(s.poolOf(i)), Phase: cranplatform.PhaseLive, Boots: boots, Slots: 8, Connections: 64,
	}
}

// build brings the fleet into service.
func (w *world) build() error {
	config, err := w.settings.config()
	if err != nil {
		return err
	}
	for m := range memberCount {
		w.send(memberID(m), cranstate.MemberJoined{
			Instance: memberInstance(m), Address: "127.0.0.1:1", DataCentre: "dc-1", LeaseMs: leaseMs,
		})
	}
	w.send(operator, cranstate.ConfigPublished{Config: config})
	for p := range w.settings.Pools {
		w.budget.floor[poolName(p)] = w.settings.sizeOf(p) - w.settings.MaxUnavailable
	}
	for i := range w.settings.Instances {
		id := instanceID(i)
		w.index[id] = i
		w.send(memberID(0), cranstate.InstancesObserved{Instances: []cranstate.Observation{w.settings.observation(i, 1)}})
		w.send(memberID(0), cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: id, Boots: 1, Healthy: true}}})
	}
	return w.journal.err
}

// propose starts the waves.
func (w *world) propose() {
	var all []string
	for p := range w.settings.Pools {
		all = append(all, poolName(p))
	}
	if w.settings.OneWave {
		w.send(operator, cranstate.WaveProposed{Pools: all, MaxFailures: w.settings.MaxFailures})
		return
	}
	for _, pool := range all {
		w.send(operator, cranstate.WaveProposed{Pools: []string{pool}, MaxFailures: w.settings.MaxFailures})
	}
}
