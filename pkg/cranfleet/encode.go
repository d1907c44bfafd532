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

// Encode prints the configuration as canonical JSON: equal configurations
// give the same bytes.
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
		// No field of wireConfig can fail to encode: prices are checked finite.
		panic(err)
	}
	return append(data, '\n')
}

// MaxEncodedBytes bounds a printed configuration.
const MaxEncodedBytes = 4 << 20

// Decode reads a printed configuration. White space and the order of fields
// and parts don't matter. It refuses unknown, repeated and missing fields and
// anything behind the configuration, and reports every fault at once, as a
// *Faults.
func Decode(data []byte) (*Config, error) {
	if len(data) > MaxEncodedBytes {
		var faults faultList
		faults.add(Position{part: "configuration", line: 1, column: 1},
			"split the fleet; 4 MiB is the most", "the configuration has %d bytes", len(data))
		return nil, faults.err()
	}
	r := newReader(data)
	if err := r.read(); err != nil {
		return nil, err
	}
	var w wireConfig
	if err := json.Unmarshal(data, &w); err != nil {
		r.faults.add(Position{part: "configuration", line: 1, column: 1},
			"print the configuration again with the library", "%v", err)
		return nil, r.faults.err()
	}
	return w.build(r.places)
}

// build makes a configuration of the parts, each with its place.
func (w wireConfig) build(places map[string]Position) (*Config, error) {
	b := &builder{name: placed[string]{w.Name, places["name"]}}
	parts := []part{{
		add: WithPrices(w.Prices.Move, w.Prices.IdleSecond, w.Prices.LateRequest),
		at:  places["prices"],
	}}
	found := false
	for i, p := range w.Pools {
		at := places[fmt.Sprintf("pools[%d]", i)]
		if p.Name != w.Spare || found {
			parts = append(parts, part{add: WithPool(p.Name, p.Instances), at: at})
			continue
		}
		found = true
		parts = append(parts, part{add: WithSpare(p.Name), at: at})
		if p.Instances != 0 {
			b.faults.add(at, "give 0; the spare takes what no other pool claims", "pool %.80q: the spare has %d instances", p.Name, p.Instances)
		}
	}
	if !found {
		b.faults.add(places["spare"], "name one of the pools", "there is no pool %.80q", w.Spare)
		parts = append(parts, part{add: withMissingSpare(), at: places["spare"]})
	}
	for i, s := range w.Services {
		parts = append(parts, part{add: s.option(), at: places[fmt.Sprintf("services[%d]", i)]})
	}
	return b.build(parts)
}

// withMissingSpare keeps a spare that is not among the pools from being
// reported a second time.
func withMissingSpare() Option {
	return func(b *builder) { b.spares = append(b.spares, placed[string]{"", b.at}) }
}

func (s wireService) option() Option {
	// A number of milliseconds beyond the bound could overflow a duration.
	ms := min(max(s.MaxDurationMs, -1), MaxMaxDuration.Milliseconds()+1)
	return WithService(s.Name, s.Pool,
		MaxUnavailable(s.MaxUnavailable),
		MaxDuration(time.Duration(ms)*time.Millisecond),
		MaxQueue(s.MaxQueue))
}
