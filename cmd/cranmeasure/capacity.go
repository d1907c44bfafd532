package main

import (
	"encoding/json"
	"os"

	"github.com/cranberrypick/cranberrypick/internal/crancapacity"
)

// capacityCommand measures the slopes of the capacity page.
type capacityCommand struct {
	Report string `default:"text" enum:"text,json" help:"Form of the report: text or json."`
}

// Run measures and prints.
func (c *capacityCommand) Run() error {
	r, err := crancapacity.Measure()
	if err != nil {
		return err
	}
	if c.Report == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	return r.Print(os.Stdout)
}
