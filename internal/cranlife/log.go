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

// lineLimit bounds a line; longer ones end the reading.
const lineLimit = 1 << 20

// Line is one event of a log.
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

// At returns when the event was logged, by the clock of its process.
func (l Line) At() time.Time { return l.at }

// Process returns the name of the process.
func (l Line) Process() string { return l.process }

// Text returns the line as it was read.
func (l Line) Text() string { return l.text }

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

// Log holds the events of several processes.
type Log struct {
	lines []Line
	// foreign counts lines that are no events.
	foreign int
}

// Read adds the lines of one file.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineLimit)
	for scanner.Scan() {
		var w wireLine
		if err := json.Unmarshal(scanner.Bytes(), &w); err != nil || w.Event == 0 {
			l.foreign++
			continue
		}
		l.lines = append(l.lines, Line{
			at: w.Time, process: w.Process, event: w.Event, name: w.Name, job: w.Job, task: w.Task,
			target: w.Target, number: w.Number, cause: w.Cause, text: scanner.Text(),
		})
	}
	return eris.Wrap(scanner.Err(), "read the log; give files of whole lines")
}

// Skipped returns how many lines were no events.
func (l *Log) Skipped() int { return l.foreign }

// Jobs returns the ids of all jobs that were accepted, in order.
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

// History returns the lines of a job in order of time, with those about its
// targets and the scheduling while it was open.
func (l *Log) History(job string) []Line {
	own := l.own(job)
	if len(own) == 0 {
		return nil
	}
	from, to := own[0].at, own[len(own)-1].at
	targets := map[string]bool{}
	for _, line := range own {
		if line.target != "" {
			targets[line.target] = true
		}
	}
	list := own
	for _, line := range l.lines {
		if line.at.Before(from) || line.at.After(to) || line.job != "" {
			continue
		}
		if isScheduling(line.event) || isTarget(line.event) && targets[line.target] {
			list = append(list, line)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.at.Compare(b.at) })
	return list
}

// own returns the lines that bear the job's id.
func (l *Log) own(job string) []Line {
	var list []Line
	for _, line := range l.lines {
		if line.job == job || strings.HasPrefix(line.task, job+".") {
			list = append(list, line)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.at.Compare(b.at) })
	return list
}
