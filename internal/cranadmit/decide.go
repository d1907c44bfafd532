package cranadmit

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// worthlessFactor is how many times its objective a job may take until it has no value.
	worthlessFactor = 3
	// maxWait is how many times the longest wait that meets the objective the wait may be until no work beyond
	// entitlements is admitted. Below it the published share decides; a lower bound made admission swing,
	// since the share then doesn't say how many callers were let in.
	maxWait = 2
	// maxRetryAfter bounds Retry-After in seconds.
	maxRetryAfter = 30
)

// Cause says why a job is refused. Its text is a label value and a log field.
type Cause string

// Causes of refusals.
const (
	// BeyondEntitlement is the cause for work that is beyond its tenant's entitlement and can't be served in
	// time.
	BeyondEntitlement Cause = "beyondEntitlement"
	// Overload is the cause for work within an entitlement that can't end before it is worthless.
	Overload Cause = "overload"
)

// Causes returns all causes.
func Causes() []Cause { return []Cause{BeyondEntitlement, Overload} }

// Request is a job that asks for admission.
type Request struct {
	ID, Queue string
	// Tenant is empty for a job of a public queue, which is always within.
	Tenant string
	Shard  int
	// Stretch and LatencyTarget define the objective: Stretch times the longest path, plus LatencyTarget.
	Stretch       float64
	LatencyTarget time.Duration
}

// Decision is the answer to a request.
type Decision struct {
	Admitted bool
	// The other fields are set for a refusal.
	Cause Cause
	// Wait is the expected wait until the job would start, Objective the time in which it should complete,
	// and Age the age of the figures.
	Wait, Objective, Age time.Duration
	// RetryAfter is the number of whole seconds after which the caller may ask again, at least 1.
	RetryAfter int
}

// Board holds the newest figures of each shard and counts the jobs admitted since. It is not safe for
// concurrent use.
type Board struct{ shards map[int]*published }

type published struct {
	figures  Figures
	readAt   time.Duration
	admitted map[string]int
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{shards: map[int]*published{}} }

// Publish replaces the figures of a shard by those that were read at the given time.
func (b *Board) Publish(shard int, f Figures, readAt time.Duration) {
	b.shards[shard] = &published{figures: f, readAt: readAt, admitted: map[string]int{}}
}

// Decide admits or refuses a job, and counts it if it is admitted. It admits every job for whose queue there
// are no figures younger than MaxAge.
func (b *Board) Decide(r Request, now time.Duration) Decision {
	d, known := b.Peek(r, now)
	if d.Admitted {
		if known {
			b.shards[r.Shard].admitted[r.Queue]++
		}
		return Decision{Admitted: true}
	}
	return d
}

// Peek returns the decision on a job without counting it, with the age of the figures also if the job is admitted. It
// reports whether there are figures younger than MaxAge for its queue.
func (b *Board) Peek(r Request, now time.Duration) (d Decision, known bool) {
	p := b.shards[r.Shard]
	if p == nil || now-p.readAt >= MaxAge {
		return Decision{Admitted: true}, false
	}
	q, known := p.figures.Queues[r.Queue]
	if !known {
		return Decision{Admitted: true}, false
	}
	age := max(now-p.readAt, 0)
	// The other entry instances have admitted about as many jobs as before.
	since := math.Max(float64(p.admitted[r.Queue]), q.Arrivals*age.Seconds())
	added := time.Duration(since*float64(q.JobTime)) - age
	d = decide(r, &q, added, p.figures.Within)
	d.Age = age
	return d, true
}

// decide decides on a job of a queue whose drain has changed by added since the figures were published.
func decide(r Request, q *QueueLoad, added time.Duration, within map[string]float64) Decision {
	h := hashOf(r.ID)
	objective := time.Duration(r.Stretch*float64(q.Path)) + r.LatencyTarget
	share, surging := within[r.Tenant]
	if r.Tenant == "" || !surging || h.fraction(0) < share {
		wait := q.After(max(q.Within+scale(added, q.Within, q.Drain), 0))
		limit := worthlessFactor*objective - q.Path
		if wait <= limit {
			return Decision{Admitted: true}
		}
		return refuse(Overload, wait, limit, objective, h)
	}
	ahead := max(q.Ahead+scale(added, q.Ahead, q.Drain), 0)
	wait := q.After(time.Duration(float64(ahead) / q.shareBeyond()))
	limit := max(objective-q.Path, 0)
	if wait <= maxWait*limit && h.fraction(1) < q.Share {
		return Decision{Admitted: true}
	}
	return refuse(BeyondEntitlement, wait, limit, objective, h)
}

// scale returns the part of a change of the whole drain that falls on a part of it.
func scale(change, part, whole time.Duration) time.Duration {
	if whole <= 0 {
		return change
	}
	return time.Duration(float64(change) * min(float64(part)/float64(whole), 1))
}

// refuse returns a refusal of a job whose wait must fall to limit until it is admitted. Retry-After is spread
// over half to one and a half times the time that takes.
func refuse(cause Cause, wait, limit, objective time.Duration, h hash) Decision {
	excess := max(wait-limit, 0).Seconds() * (0.5 + h.fraction(2))
	return Decision{Cause: cause, Wait: wait, Objective: objective, RetryAfter: 1 + int(min(excess, maxRetryAfter-1))}
}

// hash is the hash of a job's id.
type hash uint64

func hashOf(id string) hash {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return hash(h.Sum64())
}

// fraction returns a number from 0 up to but not including 1, which differs for each choice that depends on
// the hash. The multiplications are the finalizer of SplitMix64, since the highest bits of FNV hardly depend
// on the last characters of the id.
func (h hash) fraction(choice uint64) float64 {
	x := uint64(h) + (choice+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	const bits = 53
	return float64((x^x>>31)>>(64-bits)) / (1 << bits)
}
