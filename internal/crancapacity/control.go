package crancapacity

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranadmin"
	"github.com/cranberrypick/cranberrypick/internal/cranembed"
	"github.com/cranberrypick/cranberrypick/internal/cranstandin"
	"github.com/cranberrypick/cranberrypick/internal/cranstate"
	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

const (
	targetsMeasured = 50
	poolSize        = 10
	// patience bounds the wait for something that must happen.
	patience = 2 * time.Minute
)

// ControlCost is the control traffic of one entry, the mean over entries.
type ControlCost struct {
	Entries int     `json:"entries"`
	Phase   string  `json:"phase"`
	Seconds float64 `json:"seconds"`
	// RecordsPerSecond and ReadBytesPerSecond are what each entry reads of
	// the log; AppendsPerSecond and AppendBytesPerSecond what it appends.
	RecordsPerSecond     float64 `json:"recordsPerSecond"`
	ReadBytesPerSecond   float64 `json:"readBytesPerSecond"`
	AppendsPerSecond     float64 `json:"appendsPerSecond"`
	AppendBytesPerSecond float64 `json:"appendBytesPerSecond"`
	PeerBytesPerSecond   float64 `json:"peerBytesPerSecond"`
	// CorePercent is the processor time of the whole process, stand-ins
	// included, divided by the entries: an upper bound for each.
	CorePercent float64 `json:"corePercent"`
	Reboots     int     `json:"reboots"`
}

// bench is an embedded fleet under measurement.
type bench struct {
	*cranembed.Fleet
	entries []string
}

func newBench(ctx context.Context, entries int, options ...cranstandin.PlatformOption) (*bench, error) {
	b := &bench{Fleet: cranembed.NewFleet(options...)}
	for i := range targetsMeasured {
		err := b.StartTarget(cranembed.TargetSpec{
			ID: fmt.Sprintf("t%02d", i), Pool: fmt.Sprintf("pool%d", i/poolSize), Domain: fmt.Sprintf("rack%d", i/4),
			DataCentre: "dc1", Slots: slotsPerInstance, Connections: 64, ServiceTime: time.Millisecond,
		})
		if err != nil {
			return b, err
		}
	}
	for i := range entries {
		id := fmt.Sprintf("e%d", i)
		b.entries = append(b.entries, id)
		if err := b.StartEntry(id); err != nil {
			return b, err
		}
	}
	return b, b.settle(ctx)
}

// settle publishes a configuration and waits until everything serves.
func (b *bench) settle(ctx context.Context) error {
	if err := b.Await(ctx, func(s cranadmin.Status) bool { return s.Ready && len(s.Members) == len(b.entries) }); err != nil {
		return err
	}
	config, err := b.config(2)
	if err != nil {
		return err
	}
	if _, err := b.Entry("e0").Propose(ctx, cranstate.ConfigPublished{Config: config}); err != nil {
		return err
	}
	return b.Await(ctx, allAvailable)
}

// config returns the bench's configuration; budgets tell versions apart.
func (b *bench) config(maxUnavailable int) ([]byte, error) {
	options := []cranfleet.Option{cranfleet.WithSpare("spare")}
	for p := range targetsMeasured / poolSize {
		pool := fmt.Sprintf("pool%d", p)
		options = append(options, cranfleet.WithPool(pool, poolSize),
			cranfleet.WithService(fmt.Sprintf("service%d", p), pool, cranfleet.MaxUnavailable(maxUnavailable)))
	}
	c, err := cranfleet.New("bench", options...)
	if err != nil {
		return nil, err
	}
	return c.Encode(), nil
}

func allAvailable(s cranadmin.Status) bool {
	n := 0
	for _, p := range s.Pools {
		n += p.Available
	}
	return n == targetsMeasured
}

// sample is the traffic of all entries up to a moment.
type sample struct {
	at      time.Time
	traffic cranembed.Traffic
	peers   int64
	cpu     time.Duration
}

func (b *bench) sample() sample {
	s := sample{at: time.Now(), cpu: processorTime()}
	for _, id := range b.entries {
		t := b.Entry(id).Meter().Traffic()
		s.traffic.Appends += t.Appends
		s.traffic.AppendedBytes += t.AppendedBytes
		s.traffic.Records += t.Records
		s.traffic.ReadBytes += t.ReadBytes
		s.peers += b.Entry(id).PeerBytes()
	}
	return s
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// since turns what happened since an earlier sample into a cost.
func (s sample) since(earlier sample, entries int, phase string) ControlCost {
	seconds := s.at.Sub(earlier.at).Seconds()
	t := s.traffic.Sub(earlier.traffic)
	per := func(n int64) float64 { return float64(n) / seconds / float64(entries) }
	return ControlCost{
		Entries: entries, Phase: phase, Seconds: seconds,
		RecordsPerSecond: per(t.Records), ReadBytesPerSecond: per(t.ReadBytes),
		AppendsPerSecond: per(t.Appends), AppendBytesPerSecond: per(t.AppendedBytes),
		PeerBytesPerSecond: per(s.peers - earlier.peers),
		CorePercent:        100 * (s.cpu - earlier.cpu).Seconds() / seconds / float64(entries),
	}
}

// MeasureControl measures the control traffic of that many entries over 50
// targets, idle and in a wave of 50 reboots.
func MeasureControl(entries int, idle time.Duration) (costs []ControlCost, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	b, err := newBench(ctx, entries, cranstandin.WithFleetOptions(cranstandin.WithRebootTime(100*time.Millisecond)))
	defer func() { err = joinClose(err, b.Close()) }()
	if err != nil {
		return nil, err
	}
	start := b.sample()
	time.Sleep(idle)
	costs = append(costs, b.sample().since(start, entries, "idle"))
	wave, err := b.wave(ctx)
	return append(costs, wave), err
}

func joinClose(err, closing error) error {
	if err != nil {
		return err
	}
	return eris.Wrap(closing, "close the bench")
}

// wave reboots every target.
func (b *bench) wave(ctx context.Context) (ControlCost, error) {
	var pools []string
	for p := range targetsMeasured / poolSize {
		pools = append(pools, fmt.Sprintf("pool%d", p))
	}
	start := b.sample()
	if _, err := b.Entry("e0").Propose(ctx, cranstate.WaveProposed{Pools: pools, MaxFailures: targetsMeasured}); err != nil {
		return ControlCost{}, err
	}
	err := b.Entry("e0").Await(ctx, func(s cranadmin.Status) bool {
		return len(s.Waves) == 1 && s.Waves[0].Phase == cranstate.WavePhaseDone
	})
	c := b.sample().since(start, len(b.entries), "wave")
	c.Reboots = targetsMeasured
	return c, err
}

// RolloutCost is the time from the acceptance of a configuration until the
// last entry has it in force.
type RolloutCost struct {
	Entries    int     `json:"entries"`
	LogDelayMs int     `json:"delayMs"`
	Rounds     int     `json:"rounds"`
	MedianMs   float64 `json:"medianMs"`
	MaxMs      float64 `json:"maxMs"`
}

// MeasureRollout publishes configurations one after the other.
func MeasureRollout(entries, delayMs, rounds int) (cost RolloutCost, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	b, err := newBench(ctx, entries)
	defer func() { err = joinClose(err, b.Close()) }()
	if err != nil {
		return cost, err
	}
	if err := b.Platform().SetFaults(cranstandin.Faults{LogDelayMs: delayMs}); err != nil {
		return cost, err
	}
	var times []float64
	for n := range rounds {
		ms, err := b.rollout(ctx, n%2+1)
		if err != nil {
			return cost, err
		}
		times = append(times, ms)
	}
	slices.Sort(times)
	return RolloutCost{
		Entries: entries, LogDelayMs: delayMs, Rounds: rounds,
		MedianMs: times[len(times)/2], MaxMs: times[len(times)-1],
	}, nil
}

// rollout publishes one configuration and waits until every entry applied it.
func (b *bench) rollout(ctx context.Context, maxUnavailable int) (float64, error) {
	config, err := b.config(maxUnavailable)
	if err != nil {
		return 0, err
	}
	s, err := b.Entry("e0").Status(ctx)
	if err != nil {
		return 0, err
	}
	offset, err := b.Entry("e0").Propose(ctx, cranstate.ConfigPublished{Base: s.Revision, Config: config})
	if err != nil {
		return 0, err
	}
	start := time.Now()
	err = b.Await(ctx, func(s cranadmin.Status) bool { return s.Revision > offset })
	return millis(time.Since(start)), err
}
