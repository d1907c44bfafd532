package cranfleet

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Position locates a part of a configuration: an option of New, or a value in an
// encoded configuration.
type Position struct {
	part string
	// line and column count from one in an encoded configuration. Both are zero
	// in a configuration that is built from options.
	line, column int
	// order is the sort key of the positions within one configuration: the number of
	// the option, or the byte offset in an encoded configuration.
	order int
}

// Part returns the option of New, such as "option 3", or the path in an encoded
// configuration, such as "services[2].pool".
func (p Position) Part() string { return p.part }

// Line returns the line in an encoded configuration, or zero for an option.
func (p Position) Line() int { return p.line }

// Column returns the column in bytes in an encoded configuration, or zero for an
// option.
func (p Position) Column() int { return p.column }

// String joins line, column and part.
func (p Position) String() string {
	if p.line == 0 {
		return p.part
	}
	return fmt.Sprintf("%d:%d: %s", p.line, p.column, p.part)
}

// Fault is one error in a configuration, with its position.
type Fault struct {
	position Position
	fault    *cranfault.Fault
}

// Position returns the position of the faulty part.
func (f *Fault) Position() Position { return f.position }

// Message returns what is wrong.
func (f *Fault) Message() string { return f.fault.Message() }

// Remedy returns how to correct the configuration.
func (f *Fault) Remedy() string { return f.fault.Remedy() }

// Error joins position, message and remedy on one line.
func (f *Fault) Error() string {
	return fmt.Sprintf("%s: %s; remedy: %s", f.position, f.Message(), f.Remedy())
}

// Unwrap returns the fault without its position. Its kind is cranfault.Invalid.
func (f *Fault) Unwrap() error { return f.fault }

// Faults is the error of New and Decode: all faults of a configuration, in order
// of position.
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

// faultList collects faults.
type faultList struct {
	list []*Fault
}

func (l *faultList) add(at Position, remedy, format string, args ...any) {
	l.list = append(l.list, &Fault{position: at, fault: cranfault.New(cranfault.Invalid, remedy, format, args...)})
}

// err returns nil or the faults in order of position.
func (l *faultList) err() error {
	if len(l.list) == 0 {
		return nil
	}
	slices.SortStableFunc(l.list, func(a, b *Fault) int { return cmp.Compare(a.position.order, b.position.order) })
	return &Faults{list: l.list}
}
