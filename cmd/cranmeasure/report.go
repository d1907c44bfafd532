package main

import (
	"encoding/json"
	"io"
	"os"

	"golang.org/x/sync/errgroup"
)

// form holds the flag for the format of a report. The commands embed it.
type form struct {
	Report string `default:"text" enum:"text,json" help:"Format of the report: text or json."`
}

// write prints a report to standard output, as JSON or with the text function print.
func write[R any](f form, report R, print func(io.Writer, R) error) error {
	if f.Report != "json" {
		return print(os.Stdout, report)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(report)
}

// runAll calls run for all settings, with at most parallel calls at once, and returns the
// results in the order of the settings.
func runAll[S, R any](settings []S, parallel int, run func(S) (R, error)) ([]R, error) {
	results := make([]R, len(settings))
	var g errgroup.Group
	g.SetLimit(parallel)
	for i, s := range settings {
		g.Go(func() (err error) {
			results[i], err = run(s)
			return err
		})
	}
	return results, g.Wait()
}
