package crandemo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// reportInterval is the time between two progress lines about the load.
const reportInterval = time.Second

// progress writes progress lines, each with the seconds since the demonstration started.
type progress struct {
	start time.Time
	mu    sync.Mutex
	out   io.Writer
}

func newProgress(out io.Writer) *progress {
	return &progress{start: time.Now(), out: out}
}

// logf writes one formatted line.
func (p *progress) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.out, "%5.1fs  %s\n", time.Since(p.start).Seconds(), fmt.Sprintf(format, args...))
}

// logStart writes the name and the size of the deployment that is about to start.
func (p *progress) logStart(l plan) {
	p.logf("%s: starting %d instances of %d slots, in %d pools and a spare, and %d entries",
		l.config.Name(), len(l.targets()), slotsPerInstance, len(l.pools()), l.entries)
}

// logLoad writes a line about the load and the wave once per reportInterval until ctx ends.
func (d *demo) logLoad(ctx context.Context) {
	var before counts
	for n := 1; waitUntil(ctx, d.start.Add(time.Duration(n)*reportInterval)); n++ {
		now := d.load.counts()
		d.progress.logf("  %-22s %5d offered %5d answered %5d not answered   %2d of %d rebooted", d.phase(),
			now.offered-before.offered, now.answered-before.answered, now.notAnswered-before.notAnswered,
			d.fleet.rebooted(), len(d.plan.targets())-d.plan.spares)
		before = now
	}
}

// phase returns a text that names the pool whose demand surged in the last interval.
func (d *demo) phase() string {
	n := int((time.Since(d.start) - reportInterval/2) / d.plan.surge)
	if pools := d.plan.pools(); n < len(pools) {
		return "surge of " + pools[n]
	}
	return "no surge"
}

// counts holds the numbers of requests since the load started.
type counts struct {
	offered     int64
	answered    int64
	notAnswered int64
}

func (l *load) counts() counts {
	return counts{offered: l.offered.Load(), answered: l.answered.Load(), notAnswered: l.notAnswered.Load()}
}
