package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// moveTime is how long a machine is away when it changes its pool.
const moveTime = 1500 * time.Millisecond

// cloud is a stand-in of the platform's list of machines and of the calls about them.
type cloud struct {
	w       *world
	mu      sync.Mutex
	silent  bool
	wake    chan struct{}
	list    []*machine
	standby string
	lives   int
	// onMove is called, if set, when a move is asked for, before anything else.
	onMove func()
	// randomIDs is set if the ids of runners are random.
	randomIDs bool
}

type machine struct {
	name, pool, state string
	cpu, memMB        int
	labels            []string
	behave            behaviour
	runner            *runner
	ticketed          bool
}

func newCloud(w *world) *cloud { return &cloud{w: w, wake: make(chan struct{})} }

// setSilent makes every call go without an answer until it is called with false.
func (c *cloud) setSilent(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = on
	if !on {
		close(c.wake)
		c.wake = make(chan struct{})
	}
	c.w.rec.add("platform: machine API silent: %v", on)
}

// addMachine adds a machine, and its runner unless its pool is the standby one.
func (c *cloud) addMachine(m *machine) error {
	c.mu.Lock()
	c.list = append(c.list, m)
	c.mu.Unlock()
	m.state = "up"
	if m.pool == c.standby {
		return nil
	}
	return c.bring(m)
}

// bring starts a runner on a machine.
func (c *cloud) bring(m *machine) error {
	c.mu.Lock()
	c.lives++
	r := &runner{id: fmt.Sprintf("i-%04x", 0x1000+c.lives), machine: m.name, service: m.pool, cpu: m.cpu, memMB: m.memMB, labels: m.labels, behave: m.behave, ticketed: m.ticketed}
	if c.randomIDs {
		r.id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	c.mu.Unlock()
	if err := c.w.addRunner(r); err != nil {
		return err
	}
	c.mu.Lock()
	m.runner, m.state = r, "up"
	c.mu.Unlock()
	return nil
}

// ServeHTTP handles the calls that the pages name.
func (c *cloud) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	c.mu.Lock()
	onMove := c.onMove
	c.mu.Unlock()
	if q.URL.Path == "/machine-move" && onMove != nil {
		onMove()
	}
	c.mu.Lock()
	if c.silent {
		c.mu.Unlock()
		if q.URL.Path != "/machines" {
			c.w.rec.add("platform: a call of %s gets no answer and has no effect", q.URL.Path)
		}
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	defer c.mu.Unlock()
	switch q.URL.Path {
	case "/machines":
		rows := []map[string]any{}
		for _, m := range c.list {
			row := map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z-a", "labels": m.labels,
				"capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memMB, "gpu": 0},
			}
			if m.runner != nil && m.state == "up" {
				row["id"] = m.runner.id
			}
			rows = append(rows, row)
		}
		reply(w, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
	case "/machine-move":
		var o struct{ Machine, Pool string }
		_ = json.NewDecoder(q.Body).Decode(&o)
		c.move(w, o.Machine, o.Pool)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// move moves a machine to another pool. The caller holds the lock.
func (c *cloud) move(w http.ResponseWriter, name, pool string) {
	for _, m := range c.list {
		if m.name != name {
			continue
		}
		if m.pool == pool {
			reply(w, http.StatusOK, map[string]any{})
			return
		}
		if m.state != "up" {
			reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		c.w.rec.add("platform: machine %s moves from %s to %s", name, m.pool, pool)
		old := m.runner
		m.pool, m.state, m.runner = pool, "moving", nil
		if old != nil {
			go func() {
				old.crash()
				c.w.store.Put("keyed.servers", old.id, nil)
			}()
		}
		time.AfterFunc(moveTime, func() {
			if c.w.ctx.Err() != nil {
				return
			}
			if pool == c.standby {
				c.mu.Lock()
				m.state = "up"
				c.mu.Unlock()
				return
			}
			_ = c.bring(m)
		})
		reply(w, http.StatusOK, map[string]any{})
		return
	}
	w.WriteHeader(http.StatusBadRequest)
}

func (c *cloud) setOnMove(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onMove = f
}

// in returns the runners that are up in a pool.
func (c *cloud) in(pool string) []*runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*runner
	for _, m := range c.list {
		if m.pool == pool && m.state == "up" && m.runner != nil {
			list = append(list, m.runner)
		}
	}
	return list
}
