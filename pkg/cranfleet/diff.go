package cranfleet

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// ChangeKind says what became of a part.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	kind ChangeKind
	// part names what differs, such as "pool vets".
	part string
	// property, from and to are set for Changed only.
	property, from, to string
}

// Kind returns what became of the part.
func (c Change) Kind() ChangeKind { return c.kind }

// Part returns what differs, such as "pool vets".
func (c Change) Part() string { return c.part }

// Property returns the property that changed, or the empty string.
func (c Change) Property() string { return c.property }

// From returns the former value of the property.
func (c Change) From() string { return c.from }

// To returns the new value of the property.
func (c Change) To() string { return c.to }

// String prints the change as one line for people.
func (c Change) String() string {
	if c.kind == Changed {
		return fmt.Sprintf("%s: %s %s -> %s", c.part, c.property, c.from, c.to)
	}
	return fmt.Sprintf("%s: %s", c.part, c.kind)
}

// Diff lists what a new configuration changes: the deployment first, then
// pools, services and prices, each in order of name. It is empty exactly if
// both print the same bytes. An old configuration of nil stands for an empty
// fleet.
func Diff(old, updated *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	d := &differ{}
	d.properties("deployment", old.properties(), updated.properties())
	diffParts(d, "pool", old.pools, updated.pools)
	diffParts(d, "service", old.services, updated.services)
	d.properties("prices", old.prices.properties(), updated.prices.properties())
	return d.changes
}

// property is a printed value with its name.
type property struct {
	name, value string
}

// describer is a part that can be compared.
type describer interface {
	Name() string
	properties() []property
}

type differ struct {
	changes []Change
}

func (d *differ) properties(part string, old, updated []property) {
	for i, p := range updated {
		if old[i].value != p.value {
			d.changes = append(d.changes, Change{kind: Changed, part: part, property: p.name, from: old[i].value, to: p.value})
		}
	}
}

// diffParts compares two lists that are in order of name.
func diffParts[P describer](d *differ, what string, old, updated []P) {
	names := make([]string, 0, len(old)+len(updated))
	former, next := make(map[string]P, len(old)), make(map[string]P, len(updated))
	for _, p := range old {
		former[p.Name()] = p
		names = append(names, p.Name())
	}
	for _, p := range updated {
		next[p.Name()] = p
		names = append(names, p.Name())
	}
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		diffPart(d, what+" "+name, former, next, name)
	}
}

func diffPart[P describer](d *differ, part string, former, next map[string]P, name string) {
	f, had := former[name]
	n, has := next[name]
	switch {
	case !had:
		d.changes = append(d.changes, Change{kind: Added, part: part})
		d.properties(part, blank(n.properties()), n.properties())
	case !has:
		d.changes = append(d.changes, Change{kind: Removed, part: part})
	default:
		d.properties(part, f.properties(), n.properties())
	}
}

// blank returns the properties of a part that was not there.
func blank(list []property) []property {
	list = slices.Clone(list)
	for i := range list {
		list[i].value = "none"
	}
	return list
}

func (c *Config) properties() []property {
	return []property{{"name", quoteEmpty(c.name)}, {"spare", quoteEmpty(c.spare)}}
}

func quoteEmpty(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func (p Pool) properties() []property {
	return []property{{"instances", strconv.Itoa(p.instances)}}
}

func (s Service) properties() []property {
	return []property{
		{"pool", s.pool},
		{"maxUnavailable", strconv.Itoa(s.maxUnavailable)},
		{"maxDuration", s.maxDuration.Round(time.Millisecond).String()},
		{"maxQueue", strconv.Itoa(s.maxQueue)},
	}
}

func (p Prices) properties() []property {
	return []property{
		{"move", printPrice(p.move)},
		{"idleSecond", printPrice(p.idleSecond)},
		{"lateRequest", printPrice(p.lateRequest)},
	}
}

func printPrice(price float64) string { return strconv.FormatFloat(price, 'g', -1, 64) }
