package main

import (
	"bufio"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// record is what clients, runners and the platform have seen. It is written to record.txt.
type record struct {
	mu    sync.Mutex
	begin time.Time
	file  *os.File
	out   *bufio.Writer
	// runs holds the runs of each subtask in the order of their starts.
	runs map[string][]*seenRun
}

// seenRun is a run as its runner saw it.
type seenRun struct {
	runner string
	born   int64
	run    int
	start  time.Duration
	// end is when it ended; 0 while it runs.
	end   time.Duration
	how   string
	noted time.Duration
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string][]*seenRun{}}, nil
}

func (r *record) now() time.Duration { return time.Since(r.begin) }

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) runStarted(runner string, born int64, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[task] = append(r.runs[task], &seenRun{runner: runner, born: born, run: run, start: r.now()})
	r.line("runner %s: subtask %s run %d starts", runner, task, run)
}

func (r *record) find(runner string, born int64, task string, run int) *seenRun {
	for _, s := range r.runs[task] {
		if s.runner == runner && s.born == born && s.run == run {
			return s
		}
	}
	return nil
}

func (r *record) runEnded(runner string, born int64, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.find(runner, born, task, run); s != nil && s.end == 0 {
		s.end, s.how = r.now(), how
	}
	r.line("runner %s: subtask %s run %d ends: %s", runner, task, run, how)
}

func (r *record) endNoted(runner string, born int64, task string, run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.find(runner, born, task, run); s != nil {
		s.noted = r.now()
	}
}

// tasks returns the names of all subtasks that have started.
func (r *record) tasks() []string {
	var names []string
	for name := range r.runs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// describe returns the runs of a subtask as text.
func (r *record) describe(task string) string {
	var parts []string
	for _, s := range r.runs[task] {
		end := "runs on"
		if s.end > 0 {
			end = fmt.Sprintf("to %.3f %s", s.end.Seconds(), s.how)
		}
		parts = append(parts, fmt.Sprintf("run %d on %s from %.3f %s", s.run, s.runner, s.start.Seconds(), end))
	}
	return strings.Join(parts, "; ")
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// runnersOf describes what works on each runner.
func (r *record) runnersOf(runners []*runner) []string {
	var list []string
	for _, x := range runners {
		list = append(list, fmt.Sprintf("%s runs %d", x.id, x.busy()))
	}
	return list
}
