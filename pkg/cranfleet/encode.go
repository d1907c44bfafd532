package cranfleet

import (
	"bytes"
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

// Decode reads a printed configuration. It refuses unknown fields and
// reports every fault of the parts at once.
func Decode(data []byte) (*Config, error) {
	var w wireConfig
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return nil, fmt.Errorf("configuration: %w; print it again with the library", err)
	}
	options := []Option{WithPrices(w.Prices.Move, w.Prices.IdleSecond, w.Prices.LateRequest)}
	for _, p := range w.Pools {
		if p.Name != w.Spare {
			options = append(options, WithPool(p.Name, p.Instances))
		}
	}
	if w.Spare != "" {
		options = append(options, WithSpare(w.Spare))
	}
	for _, s := range w.Services {
		options = append(options, WithService(s.Name, s.Pool,
			MaxUnavailable(s.MaxUnavailable),
			MaxDuration(time.Duration(s.MaxDurationMs)*time.Millisecond),
			MaxQueue(s.MaxQueue)))
	}
	return New(w.Name, options...)
}
