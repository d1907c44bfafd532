package cranfleet

import (
	"encoding/json"
	"fmt"
	"time"
)

type wireConfig struct {
	Name     string        `json:"name"`
	Spare    string        `json:"spare"`
	Pools    []wirePool    `json:"pools"`
	Services []wireService `json:"services"`
	Prices   wirePrices    `json:"prices"`
}

type wirePool struct {
	Name      string `json:"name"`
	Instances int    `json:"instances"`
}

type wireService struct {
	Name           string `json:"name"`
	Pool           string `json:"pool"`
	MaxUnavailable int    `json:"maxUnavailable"`
	MaxDurationMs  int64  `json:"maxDurationMs"`
	MaxQueue       int    `json:"maxQueue"`
}

type wirePrices struct {
	Move        float64 `json:"move"`
	IdleSecond  float64 `json:"idleSecond"`
	LateRequest float64 `json:"lateRequest"`
}

// Encode returns the configuration as canonical JSON: equal configurations have
// the same encoding.
func (c *Config) Encode() []byte {
	w := wireConfig{
		Name: c.name, Spare: c.spare,
		Pools: []wirePool{}, Services: []wireService{},
		Prices: wirePrices{Move: c.prices.move, IdleSecond: c.prices.idleSecond, LateRequest: c.prices.lateRequest},
	}
	for _, p := range c.pools {
		w.Pools = append(w.Pools, wirePool{Name: p.name, Instances: p.instances})
	}
	for _, s := range c.services {
		w.Services = append(w.Services, wireService{
			Name: s.name, Pool: s.pool, MaxUnavailable: s.maxUnavailable,
			MaxDurationMs: s.maxDuration.Milliseconds(), MaxQueue: s.maxQueue,
		})
	}
	data, err := json.MarshalIndent(w, "", "  ")
	if err != nil {
		// Encoding wireConfig can't fail, since prices are checked to be finite.
		panic(err)
	}
	return append(data, '\n')
}

// MaxEncodedBytes bounds the size of an encoded configuration.
const MaxEncodedBytes = 4 << 20

// Decode decodes an encoded configuration. White space and the order of fields
// and parts don't matter. Decode refuses unknown, repeated and missing fields and
// data after the configuration. Its error is a *Faults with all faults.
func Decode(data []byte) (*Config, error) {
	if len(data) > MaxEncodedBytes {
		var faults faultList
		faults.add(Position{part: "configuration", line: 1, column: 1},
			"split the fleet; 4 MiB is the most", "the configuration has %d bytes", len(data))
		return nil, faults.err()
	}
	c := newSchemaChecker(data)
	if err := c.check(); err != nil {
		return nil, err
	}
	var w wireConfig
	if err := json.Unmarshal(data, &w); err != nil {
		c.faults.add(Position{part: "configuration", line: 1, column: 1},
			"encode the configuration again with the library", "%v", err)
		return nil, c.faults.err()
	}
	return w.build(c.positions)
}

// build builds a configuration of the parts. The positions are those of the
// parts by their path.
func (w wireConfig) build(positions map[string]Position) (*Config, error) {
	b := &builder{name: positioned[string]{w.Name, positions["name"]}}
	parts := []positionedOption{{
		add: WithPrices(w.Prices.Move, w.Prices.IdleSecond, w.Prices.LateRequest),
		at:  positions["prices"],
	}}
	spareFound := false
	for i, p := range w.Pools {
		at := positions[fmt.Sprintf("pools[%d]", i)]
		if p.Name != w.Spare || spareFound {
			parts = append(parts, positionedOption{add: WithPool(p.Name, p.Instances), at: at})
			continue
		}
		spareFound = true
		parts = append(parts, positionedOption{add: WithSpare(p.Name), at: at})
		if p.Instances != 0 {
			b.faults.add(at, "give 0; the spare pool gets the instances that no other pool claims", "pool %.80q: the spare pool has %d instances", p.Name, p.Instances)
		}
	}
	if !spareFound {
		b.faults.add(positions["spare"], "name one of the pools", "there is no pool %.80q", w.Spare)
		parts = append(parts, positionedOption{add: withMissingSpare(), at: positions["spare"]})
	}
	for i, s := range w.Services {
		parts = append(parts, positionedOption{add: s.option(), at: positions[fmt.Sprintf("services[%d]", i)]})
	}
	return b.build(parts)
}

// withMissingSpare declares a spare pool without a name. It prevents a second
// fault about a missing spare pool if the named one is not among the pools.
func withMissingSpare() Option {
	return func(b *builder) { b.spares = append(b.spares, positioned[string]{"", b.current}) }
}

func (s wireService) option() Option {
	// A large number of milliseconds would overflow a duration.
	ms := min(max(s.MaxDurationMs, -1), MaxMaxDuration.Milliseconds()+1)
	return WithService(s.Name, s.Pool,
		MaxUnavailable(s.MaxUnavailable),
		MaxDuration(time.Duration(ms)*time.Millisecond),
		MaxQueue(s.MaxQueue))
}
