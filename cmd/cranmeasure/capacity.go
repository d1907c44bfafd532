package main

import "github.com/cranberrypick/cranberrypick/internal/crancapacity"

// capacityCommand measures the figures of docs/CAPACITY.md.
type capacityCommand struct {
	form
}

// Run runs the measurements and prints the report.
func (c *capacityCommand) Run() error {
	r, err := crancapacity.Measure()
	if err != nil {
		return err
	}
	return write(c.form, r, crancapacity.Print)
}
