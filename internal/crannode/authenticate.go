package crannode

import (
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranevent"
	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cransched"
)

// WithRevokeBound sets the time within which the removal of a key must be in effect. Zero
// leaves the bound of the configuration.
func WithRevokeBound(bound time.Duration) Option {
	return func(n *Node) { n.revokeBound = bound }
}

// Authenticate returns the name of the tenant to which the key of a request to a queue belongs;
// empty if the queue needs no key. The keys are the values of the header that carries it. It
// returns a fault of kind Unauthenticated if there isn't exactly one valid key, and of kind
// NotReady if the configuration may be too old to tell.
//
// The premise: a key that was removed longer ago than keyBound is unknown to every
// configuration that was the newest one less than keyBound ago. A process that the store doesn't
// answer can't know that, so it answers requests with keys as NotReady from then on, whatever
// holds it up, while requests to public queues are bound by the configuration alone.
func (n *Node) Authenticate(queue *cransched.Queue, keys []string) (string, error) {
	f := n.configFreshness()
	config := n.config.Load()
	if !f.known || config.Tenants == nil || queue.Public {
		return "", nil
	}
	if f.age > n.keyBound-configMargin {
		return "", n.refuseKey(queue, f, "outdated configuration", cranfault.New(cranfault.NotReady, "try another entry instance",
			"the keys have not been confirmed for %v", f.age.Round(time.Millisecond)))
	}
	cause := "unknown key"
	switch len(keys) {
	case 0:
		cause = "no key"
	case 1:
		if tenant, known := config.Tenants.Authenticate(keys[0]); known {
			return tenant.Name, nil
		}
	default:
		cause = "several keys"
	}
	return "", n.refuseKey(queue, f, cause, cranfault.New(cranfault.Unauthenticated, "send the key of the tenant",
		"the queue %q requires a key: %s", queue.Name, cause))
}

// refuseKey logs and counts a request that isn't authenticated, and returns err.
func (n *Node) refuseKey(queue *cransched.Queue, f freshness, cause string, err error) error {
	n.metrics.Refused(cranfault.KindOf(err))
	n.log.Emit(cranevent.RequestUnauthenticated, cranevent.Revision(uint64(n.config.Load().Version)), cranevent.Age(f.age),
		cranevent.Queue(queue.Name), cranevent.Cause(cause), cranevent.Reason(cranfault.KindOf(err)))
	return err
}
