package cranlife

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// lineLimit is the maximum length of a line in bytes. Read fails at a longer one.
const lineLimit = 1 << 20

// Line is one line of a log, which describes one event.
type Line struct {
	at      time.Time
	process string
	event   int
	name    string
	job     string
	task    string
	target  string
	number  int
	cause   string
	text    string
}

// At returns the time at which the event was logged, by the clock of its process.
func (l Line) At() time.Time { return l.at }

// Process returns the name of the process that logged the event.
func (l Line) Process() string { return l.process }

// Text returns the unchanged text of the line.
func (l Line) Text() string { return l.text }

// wireLine is the JSON form of a line, as far as this package uses it.
type wireLine struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Event   int       `json:"event"`
	Name    string    `json:"name"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	Target  string    `json:"target"`
	Number  int       `json:"number"`
	Cause   string    `json:"cause"`
}

// Log holds the events in the logs of several processes.
type Log struct {
	lines []Line
	// skipped is the number of lines that don't describe an event.
	skipped int
}

// Read adds the lines of one file. It skips lines that don't describe an event.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		var w wireLine
		if err := json.Unmarshal(scanner.Bytes(), &w); err != nil || w.Event == 0 {
			l.skipped++
			continue
		}
		l.lines = append(l.lines, Line{
			at: w.Time, process: w.Process, event: w.Event, name: w.Name, job: w.Job, task: w.Task,
			target: w.Target, number: w.Number, cause: w.Cause, text: scanner.Text(),
		})
	}
	return eris.Wrap(scanner.Err(), "read the log, whose lines may have at most 1 MiB")
}

// Skipped returns the number of lines that don't describe an event.
func (l *Log) Skipped() int { return l.skipped }

// Jobs returns the ids of all jobs that were accepted, in ascending order.
func (l *Log) Jobs() []string {
	var ids []string
	for _, line := range l.lines {
		if line.event == eventAccepted {
			ids = append(ids, line.job)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// History returns the lines about a job in chronological order. It includes the lines
// about its targets and about the scheduler that were logged between the first and
// the last line of the job.
func (l *Log) History(job string) []Line {
	jobLines := l.linesOfJob(job)
	if len(jobLines) == 0 {
		return nil
	}
	from, to := jobLines[0].at, jobLines[len(jobLines)-1].at
	targets := map[string]bool{}
	for _, line := range jobLines {
		if line.target != "" {
			targets[line.target] = true
		}
	}
	list := jobLines
	for _, line := range l.lines {
		if line.at.Before(from) || line.at.After(to) || line.job != "" {
			continue
		}
		if isSchedulerEvent(line.event) || isTargetEvent(line.event) && targets[line.target] {
			list = append(list, line)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.at.Compare(b.at) })
	return list
}

// linesOfJob returns the lines about a job and its tasks, in chronological order.
func (l *Log) linesOfJob(job string) []Line {
	var list []Line
	for _, line := range l.lines {
		if line.job == job || strings.HasPrefix(line.task, job+".") {
			list = append(list, line)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.at.Compare(b.at) })
	return list
}
