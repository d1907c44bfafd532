package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	holdMax      = 6 * time.Second
	stopDuration = 400 * time.Millisecond
	// endsPerAnswer is how many unobserved ends one answer lists.
	endsPerAnswer = 500
)

// behaviour tells how long a run works and how it ends.
type behaviour func(task string, run int, spec string) (work time.Duration, how string)

// runner is a stand-in of a runner at one address. It can crash and start again.
type runner struct {
	id, machine, service, address string
	cpu, memMB                    int
	labels                        []string
	behave                        behaviour
	rec                           *record
	// ticketed is set if each start must carry the ticket of its step and runner.
	ticketed bool

	mu   sync.Mutex
	life *life
	// server and listener are those of the present life; nil while the runner is down.
	server   *http.Server
	listener net.Listener
}

// life is the state of one process of a runner. It ends with the process.
type life struct {
	r     *runner
	born  int64
	start time.Time

	mu   sync.Mutex
	dead bool
	// dark is set if the life ended without a sign, so that its channels hang.
	dark     bool
	token    uint64
	leaseEnd time.Time
	runs     map[string]*liveRun
	closed   map[string]int
	ends     []end
	count    int64
	changed  chan struct{}
}

type liveRun struct {
	task     string
	run      int
	began    time.Time
	stopping bool
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// boot starts a new life at the runner's address.
func (r *runner) boot() error {
	address := r.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	f := newLife(r)
	server := &http.Server{
		Handler: http.HandlerFunc(serveLife), ReadHeaderTimeout: 10 * time.Second,
		// A channel belongs to the life that took it, and hangs if the runner was dark.
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			r.mu.Lock()
			defer r.mu.Unlock()
			return context.WithValue(ctx, lifeKey{}, r.life)
		},
	}
	r.mu.Lock()
	r.life, r.server, r.listener = f, server, l
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.rec.add("runner %s: a life begins, born %d, at %s", r.id, f.born, r.address)
	return nil
}

// crash ends the present life: its runs end, its connections are reset, its memory is gone.
func (r *runner) crash() {
	r.mu.Lock()
	f, server := r.life, r.server
	r.life, r.server, r.listener = nil, nil, nil
	r.mu.Unlock()
	if f == nil {
		return
	}
	f.mu.Lock()
	f.dead = true
	for _, p := range f.runs {
		r.rec.runEnded(r.id, f.born, p.task, p.run, "gone")
	}
	clear(f.runs)
	f.mu.Unlock()
	_ = server.Close()
	r.rec.add("runner %s: crashed", r.id)
}

// lifeKey is the key of a channel's life in the context of its requests.
type lifeKey struct{}

// serveLife passes a request to the life to which its channel belongs.
func serveLife(w http.ResponseWriter, q *http.Request) {
	f, _ := q.Context().Value(lifeKey{}).(*life)
	if f == nil || f.isDark() {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	f.ServeHTTP(w, q)
}

// goDark ends the present life without a sign: its runs end, and its channels hang for good.
func (r *runner) goDark() {
	r.mu.Lock()
	f := r.life
	r.life = nil
	r.mu.Unlock()
	f.mu.Lock()
	f.dead, f.dark = true, true
	for _, p := range f.runs {
		r.rec.runEnded(r.id, f.born, p.task, p.run, "gone")
	}
	clear(f.runs)
	f.mu.Unlock()
	r.rec.add("runner %s: crashed, dark", r.id)
}

// wake starts a new life after goDark, under the same id and address.
func (r *runner) wake() {
	f := newLife(r)
	r.mu.Lock()
	r.life = f
	r.mu.Unlock()
	r.rec.add("runner %s: a life begins, born %d, at %s", r.id, f.born, r.address)
}

func newLife(r *runner) *life {
	now := time.Now()
	return &life{r: r, born: now.UnixMilli(), start: now, runs: map[string]*liveRun{}, closed: map[string]int{}, changed: make(chan struct{})}
}

// busy returns how many runs work on the runner.
func (r *runner) busy() int {
	r.mu.Lock()
	f := r.life
	r.mu.Unlock()
	if f == nil {
		return 0
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

func (f *life) isDark() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dark
}

// entry returns what the runner writes to the store; nil while it is down.
func (r *runner) entry(sequence int, state string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil {
		return nil
	}
	text, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "z-a", "version": "1", "slots": 8, "state": state,
		"cold_left_ms": 0, "sequence": sequence, "born": r.life.born, "machine": r.machine,
		"capacity": map[string]int{"cpu": r.cpu, "mem_mb": r.memMB, "gpu": 0}, "labels": r.labels,
	})
	return text
}

func (f *life) clockMs() int64 { return time.Since(f.start).Milliseconds() + 1 }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Observed   int64  `json:"observed"`
	Ticket     string `json:"ticket"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP handles the calls that the pages name.
func (f *life) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Header.Get("X-Cranberrypick-Expect-Instance") != f.r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.mu.Lock()
	if f.dead {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Token < f.token {
		f.mu.Unlock()
		f.answer(w, http.StatusConflict, "fence")
		return
	}
	f.token = o.Token
	switch q.URL.Path {
	case "/run-start":
		reason := f.startRun(o)
		f.mu.Unlock()
		if reason != "" {
			f.answer(w, http.StatusConflict, reason)
			return
		}
		f.answer(w, http.StatusOK, "")
	case "/run-stop":
		f.stopRun(o)
		f.mu.Unlock()
		f.answer(w, http.StatusOK, "")
	case "/pace":
		f.mu.Unlock()
		f.answer(w, http.StatusOK, "")
	case "/hold":
		f.renew(o.DeadlineMs)
		for len(f.ends) > 0 && f.ends[0].number <= o.Observed {
			e := f.ends[0]
			f.ends = f.ends[1:]
			f.r.rec.endNoted(f.r.id, f.born, e.task, e.run)
		}
		f.mu.Unlock()
		f.hold(w, q, o)
	default:
		f.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer answers a start, a stop or a pace. As in the pages' example it names no birth.
func (f *life) answer(w http.ResponseWriter, status int, reason string) {
	message := map[string]any{"clock_ms": f.clockMs()}
	if reason != "" {
		message["reason"] = reason
	}
	reply(w, status, message)
}

func reply(w http.ResponseWriter, status int, message any) {
	text, _ := json.Marshal(message)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// renew extends the lease. The caller holds the lock.
func (f *life) renew(deadlineMs int64) {
	if deadlineMs == 0 {
		return
	}
	deadline := f.start.Add(time.Duration(deadlineMs) * time.Millisecond)
	if latest := time.Now().Add(holdMax); deadline.After(latest) {
		deadline = latest
	}
	if deadline.After(f.leaseEnd) {
		f.leaseEnd = deadline
		time.AfterFunc(time.Until(deadline)+time.Millisecond, f.expire)
	}
}

func (f *life) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead || time.Now().Before(f.leaseEnd) {
		return
	}
	for _, p := range f.sorted() {
		f.end(p, "lapsed")
	}
}

func (f *life) sorted() []*liveRun {
	var list []*liveRun
	for _, p := range f.runs {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}

// end ends a run. The caller holds the lock.
func (f *life) end(p *liveRun, how string) {
	if f.dead || f.runs[p.task] != p {
		return
	}
	delete(f.runs, p.task)
	f.closed[p.task] = max(f.closed[p.task], p.run)
	f.count++
	f.ends = append(f.ends, end{f.count, p.task, p.run, how})
	f.r.rec.runEnded(f.r.id, f.born, p.task, p.run, how)
	close(f.changed)
	f.changed = make(chan struct{})
}

// startRun starts a run and returns the reason for a refusal. The caller holds the lock.
func (f *life) startRun(o order) string {
	f.renew(o.DeadlineMs)
	if p := f.runs[o.Task]; p != nil {
		if p.run == o.Run {
			return ""
		}
		return "old"
	}
	if o.Run <= f.closed[o.Task] {
		return "old"
	}
	if o.DeadlineMs > 0 && o.DeadlineMs < f.clockMs() {
		return "late"
	}
	if f.r.ticketed && o.Ticket != "t-"+o.Task[:strings.LastIndex(o.Task, ".")]+"-"+f.r.id {
		return "ticket"
	}
	if f.leaseEnd.Before(time.Now()) {
		f.leaseEnd = time.Now().Add(holdMax)
		time.AfterFunc(holdMax+time.Millisecond, f.expire)
	}
	work, how := f.r.behave(o.Task, o.Run, o.Spec)
	p := &liveRun{task: o.Task, run: o.Run, began: time.Now()}
	f.runs[o.Task] = p
	f.r.rec.runStarted(f.r.id, f.born, o.Task, o.Run)
	if work > 0 {
		time.AfterFunc(work, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.end(p, how)
		})
	}
	return ""
}

// stopRun begins to stop a run, and refuses it from now on. The caller holds the lock.
func (f *life) stopRun(o order) {
	f.closed[o.Task] = max(f.closed[o.Task], o.Run)
	p := f.runs[o.Task]
	if p == nil || p.run != o.Run || p.stopping {
		return
	}
	p.stopping = true
	time.AfterFunc(stopDuration, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.end(p, "stopped")
	})
}

// hold waits for an end, as far as asked, and lists what runs and what has ended.
func (f *life) hold(w http.ResponseWriter, q *http.Request, o order) {
	timer := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	f.mu.Lock()
	for waiting := true; waiting && len(f.ends) == 0 && !f.dead; {
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		f.mu.Lock()
	}
	if f.dead {
		dark := f.dark
		f.mu.Unlock()
		if dark {
			<-q.Context().Done()
		}
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, p := range f.sorted() {
		percent := min(100, int(time.Since(p.began).Milliseconds()/7))
		running = append(running, []any{p.task, p.run, "", percent, 0})
	}
	for i, e := range f.ends {
		if i == endsPerAnswer {
			break
		}
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	f.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clock_ms": f.clockMs(), "born": f.born, "running": running, "finished": finished})
}

// tasks returns the subtasks that work on the runner.
func (r *runner) tasks() []string {
	r.mu.Lock()
	f := r.life
	r.mu.Unlock()
	if f == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, p := range f.sorted() {
		list = append(list, p.task)
	}
	return list
}
