package main

import (
	"encoding/json"
	"io"
	"os"

	"golang.org/x/sync/errgroup"
)

// form is how a report is printed.
type form struct {
	Report string `default:"text" enum:"text,json" help:"Form of the report: text or json."`
}

// write prints a report as JSON, or as text through print.
func write[R any](f form, report R, print func(io.Writer, R) error) error {
	if f.Report != "json" {
		return print(os.Stdout, report)
	}
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(report)
}

// runAll runs the settings, some at a time, and returns their results in the
// same order.
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
