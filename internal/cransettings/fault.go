package cransettings

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Fault is one error in a settings file, with its position.
type Fault struct {
	file string
	// line and column count from one. A fault of the whole file, such as a
	// missing key, has line 1 and column 1.
	line, column int
	fault        *cranfault.Fault
}

// File returns the name of the file.
func (f *Fault) File() string { return f.file }

// Line returns the line, counted from one.
func (f *Fault) Line() int { return f.line }

// Column returns the column in characters, counted from one.
func (f *Fault) Column() int { return f.column }

// Message returns what is wrong.
func (f *Fault) Message() string { return f.fault.Message() }

// Remedy returns how to correct the file.
func (f *Fault) Remedy() string { return f.fault.Remedy() }

// Error joins position, message and remedy on one line.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s; remedy: %s", f.file, f.line, f.column, f.Message(), f.Remedy())
}

// Unwrap returns the fault without its position. Its kind is
// cranfault.Invalid.
func (f *Fault) Unwrap() error { return f.fault }

// Faults is the error of Parse: all faults of a settings file, in order of
// position.
type Faults struct {
	// list has at least one fault.
	list []*Fault
}

// List returns the faults in order of position.
func (f *Faults) List() []*Fault { return slices.Clone(f.list) }

// Error returns the faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.list))
	for _, one := range f.list {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.Is and errors.As find them.
func (f *Faults) Unwrap() []error {
	errs := make([]error, 0, len(f.list))
	for _, one := range f.list {
		errs = append(errs, one)
	}
	return errs
}

// FaultsOf returns the faults of a *Faults in the chain of err, or nil.
func FaultsOf(err error) []*Fault {
	var f *Faults
	if errors.As(err, &f) {
		return f.List()
	}
	return nil
}

func sortFaults(list []*Fault) {
	slices.SortStableFunc(list, func(a, b *Fault) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
}
