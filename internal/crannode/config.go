package crannode

import (
	"context"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
	"github.com/cranberrypick/cranberrypick/internal/cranstore"
)

const (
	// defaultConfigBound is the time within which a stored configuration must be in effect
	// if the settings don't say.
	defaultConfigBound = 2 * time.Second
	// configMargin is taken off that time for the drift between clocks and the sending of
	// the response.
	configMargin = 100 * time.Millisecond
	// configReadsPerBound is how many reads of the operator's topic fit into that time, so
	// that the loss of one leaves time for another.
	configReadsPerBound = 4
)

// WithConfigBound sets the time within which a stored configuration must be in effect.
// An entry instance that can't rule out a newer configuration of that age refuses requests.
// Zero leaves the default of 2 s.
func WithConfigBound(bound time.Duration) Option {
	return func(n *Node) {
		if bound > 0 {
			n.configBound = bound
		}
	}
}

// Config returns the configuration in force, however old; nil until the first one arrives.
func (n *Node) Config() *Config { return n.config.Load() }

// freshness tells how new the configuration in force is.
type freshness struct {
	// known is false before the first configuration; the other fields are zero then.
	known bool
	// age is the time since the configuration was certainly the newest one.
	age time.Duration
	// confirmed is true if every configuration that must be in effect by now is.
	confirmed bool
}

// configFreshness returns the freshness of the configuration in force. A configuration that
// is loaded after the call is at least as new.
func (n *Node) configFreshness() freshness {
	at := n.configReadAt.Load()
	if at == 0 || n.config.Load() == nil {
		return freshness{}
	}
	age := n.now().Steady - time.Duration(at)
	return freshness{known: true, age: age, confirmed: age <= n.configBound-configMargin}
}

// FindQueue returns the queue to which a request is routed, and its path without the
// route's prefix. It returns a fault of kind UnknownService if there is no such queue, and
// of kind NotReady if that can't be known, because the configuration may be outdated.
func (n *Node) FindQueue(host, path string) (*cransched.Queue, string, error) {
	f := n.configFreshness()
	if !f.known {
		return nil, "", n.refuseRoute(0, f.age, cranfault.New(cranfault.NotReady, "try another entry instance", "no configuration is known here yet"))
	}
	config := n.config.Load()
	if !f.confirmed {
		return nil, "", n.refuseRoute(config.Version, f.age, cranfault.New(cranfault.NotReady, "try another entry instance",
			"the configuration has not been confirmed for %v", f.age.Round(time.Millisecond)))
	}
	queue, rest := config.FindQueue(host, path)
	if queue == nil {
		return nil, "", n.refuseRoute(config.Version, f.age, cranfault.New(cranfault.UnknownService, "correct the host and the path", "no queue is at %s%s", host, path))
	}
	return queue, rest, nil
}

// refuseRoute logs and counts a request that is not routed, and returns err.
func (n *Node) refuseRoute(version int64, age time.Duration, err error) error {
	n.metrics.Refused(cranfault.KindOf(err))
	n.log.Emit(cranevent.RequestNotRouted, cranevent.Revision(uint64(version)), cranevent.Age(age),
		cranevent.Reason(cranfault.KindOf(err)), cranevent.Err(err))
	return err
}

// followOperator keeps the configuration and the waves up to date until ctx ends.
func (n *Node) followOperator(ctx context.Context) {
	f := n.newFollower(readOptions{
		topic: n.directory.Operator, wait: min(readWait, n.configBound/configReadsPerBound),
		options: []cranstore.FollowerOption{cranstore.WithNewestOnly()},
	})
	n.follow(ctx, "operator", f, func(u cranstore.Update) {
		for _, record := range u.Records {
			n.applyOperatorRecord(ctx, record, u)
		}
		if at, current := u.CurrentAt(); current {
			n.configReadAt.Store(int64(at))
			n.post(ctx, func() { n.control.configReadAt = at })
			n.metrics.ConfigConfirmed(n.now().UnixMs - (n.now().Steady - at).Milliseconds())
		}
	})
}

// applyOperatorRecord applies a record that was read with the update u.
func (n *Node) applyOperatorRecord(ctx context.Context, r cranstore.Record, u cranstore.Update) {
	if len(r.Value) == 0 {
		return
	}
	start := n.now().Steady
	decoded, err := n.directory.DecodeOperatorRecord(r.Key, r.Value)
	if err != nil {
		n.skipMalformed("operator", r, err)
		return
	}
	switch v := decoded.(type) {
	case *Config:
		if old := n.config.Load(); old != nil && old.Version >= v.Version {
			return
		}
		n.config.Store(v)
		now := n.now().Steady
		n.metrics.ConfigInForce(v.Version, now-start)
		n.log.Emit(cranevent.ConfigurationInForce, cranevent.Offset(r.Offset), cranevent.Revision(uint64(v.Version)),
			cranevent.Age(now-u.Sent), cranevent.Elapsed(now-start), cranevent.Behind(max(u.End, r.Offset+1)-r.Offset-1))
		n.post(ctx, func() { n.control.setConfig(&v.Config) })
	case *cransched.WaveOrder:
		n.post(ctx, func() { n.control.addWave(*v) })
	}
}

// configWatch logs when the configuration can no longer be confirmed, and when it can be
// again. Only the control goroutine uses it.
type configWatch struct {
	outdated bool
	// since is when the configuration could no longer be confirmed.
	since time.Duration
}

// check logs a change since the last call.
func (w *configWatch) check(n *Node, now time.Duration) {
	f := n.configFreshness()
	if !f.known || f.confirmed != w.outdated {
		return
	}
	w.outdated = !w.outdated
	revision := cranevent.Revision(uint64(n.config.Load().Version))
	if w.outdated {
		w.since = now
		n.log.Emit(cranevent.ConfigurationOutdated, revision, cranevent.Age(f.age))
		return
	}
	n.log.Emit(cranevent.ConfigurationConfirmed, revision, cranevent.Age(f.age), cranevent.Elapsed(now-w.since))
}
