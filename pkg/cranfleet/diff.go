package cranfleet

import (
	"fmt"
	"slices"
	"strconv"
	"time"
)

// ChangeKind says whether a part was added, removed or changed.
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
	// part is the kind and name of the changed part, such as "pool vets".
	part string
	// property, from and to are set for Changed only.
	property, from, to string
}

// Kind returns whether the part was added, removed or changed.
func (c Change) Kind() ChangeKind { return c.kind }

// Part returns the kind and name of the changed part, such as "pool vets".
func (c Change) Part() string { return c.part }

// Property returns the property that changed, or the empty string.
func (c Change) Property() string { return c.property }

// From returns the former value of the property.
func (c Change) From() string { return c.from }

// To returns the new value of the property.
func (c Change) To() string { return c.to }

// String returns the change as one line of text.
func (c Change) String() string {
	if c.kind == Changed {
		return fmt.Sprintf("%s: %s %s -> %s", c.part, c.property, c.from, c.to)
	}
	return fmt.Sprintf("%s: %s", c.part, c.kind)
}

// Diff returns the changes from an old configuration to an updated one: first
// those of the deployment, then of pools, services and prices, with pools and
// services in order of name. The result is empty if and only if both have the
// same encoding. An old configuration of nil stands for an empty fleet.
func Diff(old, updated *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	d := &differ{}
	d.diffProperties("deployment", old.properties(), updated.properties())
	diffParts(d, "pool", old.pools, updated.pools)
	diffParts(d, "service", old.services, updated.services)
	d.diffProperties("prices", old.prices.properties(), updated.prices.properties())
	return d.changes
}

// property is the name of a property and its value as text.
type property struct {
	name, value string
}

// configPart is a part of a configuration that Diff compares by its properties.
type configPart interface {
	Name() string
	properties() []property
}

// differ collects changes.
type differ struct {
	changes []Change
}

// diffProperties adds a change for each property of a part that differs. Both
// lists have the same properties in the same order.
func (d *differ) diffProperties(part string, old, updated []property) {
	for i, p := range updated {
		if old[i].value != p.value {
			d.changes = append(d.changes, Change{kind: Changed, part: part, property: p.name, from: old[i].value, to: p.value})
		}
	}
}

// diffParts adds the changes between two lists of parts, in order of name.
func diffParts[P configPart](d *differ, partKind string, old, updated []P) {
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
		diffPart(d, partKind+" "+name, former, next, name)
	}
}

func diffPart[P configPart](d *differ, part string, former, next map[string]P, name string) {
	f, had := former[name]
	n, has := next[name]
	switch {
	case !had:
		d.changes = append(d.changes, Change{kind: Added, part: part})
		d.diffProperties(part, unsetProperties(n.properties()), n.properties())
	case !has:
		d.changes = append(d.changes, Change{kind: Removed, part: part})
	default:
		d.diffProperties(part, f.properties(), n.properties())
	}
}

// unsetProperties returns the properties with the value "none", as the former
// ones of an added part.
func unsetProperties(list []property) []property {
	list = slices.Clone(list)
	for i := range list {
		list[i].value = "none"
	}
	return list
}

func (c *Config) properties() []property {
	return []property{{"name", noneIfEmpty(c.name)}, {"spare", noneIfEmpty(c.spare)}}
}

func noneIfEmpty(s string) string {
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
		{"move", formatPrice(p.move)},
		{"idleSecond", formatPrice(p.idleSecond)},
		{"lateRequest", formatPrice(p.lateRequest)},
	}
}

func formatPrice(price float64) string { return strconv.FormatFloat(price, 'g', -1, 64) }
