package crantraffic

import (
	"container/list"
	"sync"
	"time"
)

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
	key    string
	answer *Answer
	size   int
	until  time.Time
}

func newKeptAnswers(limit int, age time.Duration, now func() time.Time) *keptAnswers {
	return &keptAnswers{limit: limit, age: age, now: now, byKey: make(map[string]*list.Element)}
}

// put keeps an answer, unless it alone is over the limit.
func (k *keptAnswers) put(key string, a *Answer) {
	size := a.size() + len(key)
	if size > k.limit {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.byKey[key]; ok {
		k.drop(e)
	}
	kept := &keptAnswer{key: key, answer: a, size: size, until: k.now().Add(k.age)}
	k.byKey[key] = k.order.PushFront(kept)
	k.bytes += size
	for k.bytes > k.limit {
		k.drop(k.order.Back())
	}
}

// get returns the answer kept for the key.
func (k *keptAnswers) get(key string) (*Answer, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.byKey[key]
	if !ok {
		return nil, false
	}
	kept := e.Value.(*keptAnswer)
	if k.now().After(kept.until) {
		k.drop(e)
		return nil, false
	}
	return kept.answer, true
}

// drop takes an element out; the caller holds the lock.
func (k *keptAnswers) drop(e *list.Element) {
	kept := k.order.Remove(e).(*keptAnswer)
	delete(k.byKey, kept.key)
	k.bytes -= kept.size
}
