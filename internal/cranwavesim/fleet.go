package cranwavesim

import (
	"fmt"

	"github.com/cranberrypick/cranberrypick/internal/cranplatform"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// operator is the writer id of the operator's events.
const operator = "operator"

func memberID(i int) string         { return fmt.Sprintf("entry-%d-a", i) }
func poolName(p int) string         { return fmt.Sprintf("pool%03d", p) }
func instanceID(i int) string       { return fmt.Sprintf("worker-%05d", i) }
func domainName(i int) string       { return fmt.Sprintf("rack-%04d", i/rackSize) }
func memberInstanceID(i int) string { return fmt.Sprintf("entry-%d", i) }

// config returns the encoded configuration of the fleet.
func (s Settings) config() ([]byte, error) {
	options := []cranfleet.Option{cranfleet.WithSpare("spare")}
	for p := range s.Pools {
		options = append(options,
			cranfleet.WithPool(poolName(p), s.poolSize(p)),
			cranfleet.WithService(fmt.Sprintf("service%03d", p), poolName(p), cranfleet.MaxUnavailable(s.MaxUnavailable)))
	}
	config, err := cranfleet.New("waves", options...)
	if err != nil {
		return nil, err
	}
	return config.Encode(), nil
}

// observation returns the entry of a live instance in the platform's list.
func (s Settings) observation(i, boots int) cranstate.Observation {
	return cranstate.Observation{
		ID: instanceID(i), Address: "127.0.0.1:1", Domain: domainName(i), DataCentre: "dc-1",
		Pool: poolName(s.poolIndex(i)), Phase: cranplatform.PhaseLive, Boots: boots, Slots: 8, Connections: 64,
	}
}

// build joins the members, publishes the configuration and makes all instances available.
func (sim *simulation) build() error {
	config, err := sim.settings.config()
	if err != nil {
		return err
	}
	for m := range memberCount {
		sim.send(memberID(m), cranstate.MemberJoined{
			Instance: memberInstanceID(m), Address: "127.0.0.1:1", DataCentre: "dc-1", LeaseMs: leaseMs,
		})
	}
	sim.send(operator, cranstate.ConfigPublished{Config: config})
	for p := range sim.settings.Pools {
		sim.budget.minAvailable[poolName(p)] = sim.settings.poolSize(p) - sim.settings.MaxUnavailable
	}
	for i := range sim.settings.Instances {
		id := instanceID(i)
		sim.index[id] = i
		sim.send(memberID(0), cranstate.InstancesObserved{Instances: []cranstate.Observation{sim.settings.observation(i, 1)}})
		sim.send(memberID(0), cranstate.ProbesObserved{Probes: []cranstate.Probe{{Instance: id, Boots: 1, Healthy: true}}})
	}
	return sim.journal.err
}

// proposeWaves starts the waves.
func (sim *simulation) proposeWaves() {
	var all []string
	for p := range sim.settings.Pools {
		all = append(all, poolName(p))
	}
	if sim.settings.OneWave {
		sim.send(operator, cranstate.WaveProposed{Pools: all, MaxFailures: sim.settings.MaxFailures})
		return
	}
	for _, pool := range all {
		sim.send(operator, cranstate.WaveProposed{Pools: []string{pool}, MaxFailures: sim.settings.MaxFailures})
	}
}
