package main

import "github.com/cranberrypick/cranberrypick/internal/crancapacity"

// capacityCommand measures the slopes of the capacity page.
type capacityCommand struct {
	form
}

// Run measures and prints.
func (c *capacityCommand) Run() error {
	r, err := crancapacity.Measure()
	if err != nil {
		return err
	}
	return write(c.form, r, crancapacity.Print)
}
