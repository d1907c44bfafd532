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
	targetCount = 50
	poolSize    = 10
	// waitTimeout limits a measurement that waits for a state of the fleet.
	waitTimeout = 2 * time.Minute
)

// ControlCost holds the control traffic of one entry, as the mean over all entries.
type ControlCost struct {
	Entries int     `json:"entries"`
	Phase   string  `json:"phase"`
	Seconds float64 `json:"seconds"`
	// RecordsPerSecond and ReadBytesPerSecond are what an entry reads from the log.
	// AppendsPerSecond and AppendBytesPerSecond are what it appends.
	RecordsPerSecond     float64 `json:"recordsPerSecond"`
	ReadBytesPerSecond   float64 `json:"readBytesPerSecond"`
	AppendsPerSecond     float64 `json:"appendsPerSecond"`
	AppendBytesPerSecond float64 `json:"appendBytesPerSecond"`
	PeerBytesPerSecond   float64 `json:"peerBytesPerSecond"`
	// CorePercent is the processor time of the whole process divided by the number of
	// entries, in percent of a core. It is an upper bound, since the process also runs the
	// stand-ins for the platform and the targets.
	CorePercent float64 `json:"corePercent"`
	Reboots     int     `json:"reboots"`
}

// bench is an embedded fleet on which costs are measured.
type bench struct {
	*cranembed.Fleet
	entries []string
}

// newBench starts a fleet with that many entries and waits until its targets are available.
// The caller must close it, also after an error.
func newBench(ctx context.Context, entries int, options ...cranstandin.PlatformOption) (*bench, error) {
	b := &bench{Fleet: cranembed.NewFleet(options...)}
	for i := range targetCount {
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
	return b, b.makeAvailable(ctx)
}

// makeAvailable publishes a configuration and waits until all targets are available.
func (b *bench) makeAvailable(ctx context.Context) error {
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

// config returns an encoded configuration with the given availability budget. Configurations
// with different budgets are different versions.
func (b *bench) config(maxUnavailable int) ([]byte, error) {
	options := []cranfleet.Option{cranfleet.WithSpare("spare")}
	for p := range targetCount / poolSize {
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

// allAvailable reports whether all targets are available.
func allAvailable(s cranadmin.Status) bool {
	n := 0
	for _, p := range s.Pools {
		n += p.Available
	}
	return n == targetCount
}

// sample holds the total traffic of all entries and the processor time up to a point in time.
type sample struct {
	at      time.Time
	traffic cranembed.Traffic
	peers   int64
	cpu     time.Duration
}

// sample returns the current sample.
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

// processorTime returns the user and system time of the process so far, or 0 if it is not
// known.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// since returns the cost per entry and second since an earlier sample.
func (s sample) since(earlier sample, entries int, phase string) ControlCost {
	seconds := s.at.Sub(earlier.at).Seconds()
	t := s.traffic.Sub(earlier.traffic)
	perEntrySecond := func(n int64) float64 { return float64(n) / seconds / float64(entries) }
	return ControlCost{
		Entries: entries, Phase: phase, Seconds: seconds,
		RecordsPerSecond: perEntrySecond(t.Records), ReadBytesPerSecond: perEntrySecond(t.ReadBytes),
		AppendsPerSecond: perEntrySecond(t.Appends), AppendBytesPerSecond: perEntrySecond(t.AppendedBytes),
		PeerBytesPerSecond: perEntrySecond(s.peers - earlier.peers),
		CorePercent:        100 * (s.cpu - earlier.cpu).Seconds() / seconds / float64(entries),
	}
}

// MeasureControl measures the control traffic of that many entries with 50 targets, first while
// the fleet is idle, then during a maintenance wave that reboots all 50.
func MeasureControl(entries int, idle time.Duration) (costs []ControlCost, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	b, err := newBench(ctx, entries, cranstandin.WithFleetOptions(cranstandin.WithRebootTime(100*time.Millisecond)))
	defer func() { err = firstError(err, b.Close()) }()
	if err != nil {
		return nil, err
	}
	start := b.sample()
	time.Sleep(idle)
	costs = append(costs, b.sample().since(start, entries, "idle"))
	wave, err := b.measureWave(ctx)
	return append(costs, wave), err
}

// firstError returns err, or the error of closing the bench if err is nil.
func firstError(err, closing error) error {
	if err != nil {
		return err
	}
	return eris.Wrap(closing, "close the bench")
}

// measureWave measures the control traffic of a maintenance wave that reboots every target.
func (b *bench) measureWave(ctx context.Context) (ControlCost, error) {
	var pools []string
	for p := range targetCount / poolSize {
		pools = append(pools, fmt.Sprintf("pool%d", p))
	}
	start := b.sample()
	if _, err := b.Entry("e0").Propose(ctx, cranstate.WaveProposed{Pools: pools, MaxFailures: targetCount}); err != nil {
		return ControlCost{}, err
	}
	err := b.Entry("e0").Await(ctx, func(s cranadmin.Status) bool {
		return len(s.Waves) == 1 && s.Waves[0].Phase == cranstate.WavePhaseDone
	})
	c := b.sample().since(start, len(b.entries), "wave")
	c.Reboots = targetCount
	return c, err
}

// RolloutCost holds the time from the acceptance of a configuration until the last entry has
// applied it.
type RolloutCost struct {
	Entries    int     `json:"entries"`
	LogDelayMs int     `json:"delayMs"`
	Rounds     int     `json:"rounds"`
	MedianMs   float64 `json:"medianMs"`
	MaxMs      float64 `json:"maxMs"`
}

// MeasureRollout publishes configurations one after the other on a log with the given delay
// and measures how long each takes to be applied by all entries.
func MeasureRollout(entries, delayMs, rounds int) (cost RolloutCost, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	b, err := newBench(ctx, entries)
	defer func() { err = firstError(err, b.Close()) }()
	if err != nil {
		return cost, err
	}
	if err := b.Platform().SetFaults(cranstandin.Faults{LogDelayMs: delayMs}); err != nil {
		return cost, err
	}
	var times []float64
	for n := range rounds {
		ms, err := b.measureRollout(ctx, n%2+1)
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

// measureRollout publishes one configuration and returns the time until every entry has applied
// it, in milliseconds.
func (b *bench) measureRollout(ctx context.Context, maxUnavailable int) (float64, error) {
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
