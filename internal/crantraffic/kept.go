package crantraffic

import (
	"container/list"
	"sync"
	"time"
)

// cachedAnswerOverhead is the approximate size of a cache entry in bytes,
// without its key and answer.
const cachedAnswerOverhead = 200

// answerCache holds the answers to non-idempotent requests by key, the newest
// first. It is limited in bytes and in the age of an answer.
type answerCache struct {
	limit int // bytes
	ttl   time.Duration
	now   func() time.Time

	mu    sync.Mutex
	bytes int       // sum of the sizes, at most limit
	order list.List // of *cachedAnswer, newest at the front
	byKey map[string]*list.Element
}

type cachedAnswer struct {
	key         string
	fingerprint uint64  // of the request
	answer      *Answer // nil if it was too large for the cache
	size        int
	expires     time.Time
}

func newAnswerCache(limit int, ttl time.Duration, now func() time.Time) *answerCache {
	return &answerCache{limit: limit, ttl: ttl, now: now, byKey: make(map[string]*list.Element)}
}

// put adds an answer. If the answer is nil or too large, it records only that
// the request was answered.
func (c *answerCache) put(key string, fingerprint uint64, a *Answer) {
	entry := &cachedAnswer{key: key, fingerprint: fingerprint, size: len(key) + cachedAnswerOverhead}
	if a != nil && entry.size+a.size() <= c.limit {
		entry.answer = a
		entry.size += a.size()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.expires = c.now().Add(c.ttl)
	if e, ok := c.byKey[key]; ok {
		c.remove(e)
	}
	c.byKey[key] = c.order.PushFront(entry)
	c.bytes += entry.size
	for c.bytes > c.limit {
		c.remove(c.order.Back())
	}
}

// get returns the entry of the key, or nil.
func (c *answerCache) get(key string) *cachedAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byKey[key]
	if !ok {
		return nil
	}
	entry := e.Value.(*cachedAnswer)
	if c.now().After(entry.expires) {
		c.remove(e)
		return nil
	}
	return entry
}

// remove removes an element. The caller holds the lock.
func (c *answerCache) remove(e *list.Element) {
	entry := c.order.Remove(e).(*cachedAnswer)
	delete(c.byKey, entry.key)
	c.bytes -= entry.size
}
