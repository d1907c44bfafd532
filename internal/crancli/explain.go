package crancli

import (
	"errors"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranlife"
)

// explainJob prints the history of a job from the logs at paths, and the gaps
// in it: runs or jobs whose end is not in the logs.
func explainJob(o *output, paths []string, job string) error {
	if job == "" {
		return usageError{errors.New("no job; give the id of a job with --log")}
	}
	var log cranlife.Log
	for _, path := range paths {
		if err := readLog(&log, path); err != nil {
			return err
		}
	}
	history := log.History(job)
	if len(history) == 0 {
		return usageError{fmt.Errorf("no log line mentions job %s; add the logs of the other entry instances", job)}
	}
	for _, line := range history {
		if _, err := fmt.Fprintf(o.out, "%9.3f %s\n", line.At().Sub(history[0].At()).Seconds(), line.Text()); err != nil {
			return err
		}
	}
	for _, gap := range log.Gaps(job) {
		if _, err := fmt.Fprintln(o.out, "gap:", gap); err != nil {
			return err
		}
	}
	return nil
}

func readLog(log *cranlife.Log, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "open the log")
	}
	return errors.Join(log.Read(file), file.Close())
}
