package crantraffic

import (
	"container/list"
	"sync"
	"time"
)

// keptOverhead is about what an entry takes besides its key and answer, in
// bytes.
const keptOverhead = 200

// keptAnswers keeps whole answers to non-idempotent requests by key, the
// newest first, up to a number of bytes and an age.
type keptAnswers struct {
	limit int // bytes
	age   time.Duration
	now   func() time.Time

	mu    sync.Mutex
	bytes int       // sum of the sizes, at most limit
	order list.List // of *keptAnswer, newest at the front
	byKey map[string]*list.Element
}

type keptAnswer struct {
	key         string
	fingerprint uint64  // of the request
	answer      *Answer // nil if it was too large to be kept
	size        int
	until       time.Time
}

func newKeptAnswers(limit int, age time.Duration, now func() time.Time) *keptAnswers {
	return &keptAnswers{limit: limit, age: age, now: now, byKey: make(map[string]*list.Element)}
}

// put keeps an answer. Of an answer that is too large, or nil, it keeps only
// that there was one.
func (k *keptAnswers) put(key string, fingerprint uint64, a *Answer) {
	kept := &keptAnswer{key: key, fingerprint: fingerprint, size: len(key) + keptOverhead}
	if a != nil && kept.size+a.size() <= k.limit {
		kept.answer = a
		kept.size += a.size()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	kept.until = k.now().Add(k.age)
	if e, ok := k.byKey[key]; ok {
		k.drop(e)
	}
	k.byKey[key] = k.order.PushFront(kept)
	k.bytes += kept.size
	for k.bytes > k.limit {
		k.drop(k.order.Back())
	}
}

// get returns what is kept for the key, or nil.
func (k *keptAnswers) get(key string) *keptAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.byKey[key]
	if !ok {
		return nil
	}
	kept := e.Value.(*keptAnswer)
	if k.now().After(kept.until) {
		k.drop(e)
		return nil
	}
	return kept
}

// drop takes an element out; the caller holds the lock.
func (k *keptAnswers) drop(e *list.Element) {
	kept := k.order.Remove(e).(*keptAnswer)
	delete(k.byKey, kept.key)
	k.bytes -= kept.size
}
