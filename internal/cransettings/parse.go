package cransettings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/rotisserie/eris"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 64 * kib

// Load reads and parses a settings file. Its error is either that of
// reading the file or a *Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings: give the path of a readable TOML file")
	}
	return Parse(path, data)
}

// Parse reads settings from the content of a file; name is used in faults
// only. Its error is a *Faults with everything that is wrong.
func Parse(name string, data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		f := &Fault{file: name, line: 1, column: 1, fault: cranfault.New(cranfault.Invalid,
			fmt.Sprintf("keep a settings file under %d bytes", maxFileBytes),
			"the file has %d bytes", len(data))}
		return nil, &Faults{list: []*Fault{f}}
	}
	c := newChecker(name, readDocument(data))
	c.checkSyntax()
	c.checkItems()
	c.checkMissing()
	c.checkRelations()
	if len(c.faults) > 0 {
		sortFaults(c.faults)
		return nil, &Faults{list: c.faults}
	}
	return c.settings, nil
}

// checker gathers the faults of one document while it fills in settings.
type checker struct {
	file     string
	doc      document
	settings *Settings
	// seen holds the first item of every path.
	seen map[string]item
	// good holds the paths whose value was taken.
	good   map[string]bool
	faults []*Fault
}

func newChecker(file string, doc document) *checker {
	c := &checker{
		file: file, doc: doc, settings: &Settings{},
		seen: make(map[string]item), good: make(map[string]bool),
	}
	for _, k := range keys {
		k.reset(c.settings)
		c.good[k.path] = !k.required
	}
	return c
}

func (c *checker) add(line, column int, remedy, format string, args ...any) {
	c.faults = append(c.faults, &Fault{
		file: c.file, line: line, column: column,
		fault: cranfault.New(cranfault.Invalid, remedy, format, args...),
	})
}

func (c *checker) addAt(it item, wrong *reason) {
	c.add(it.line, it.column, wrong.remedy, "%s: %s", it.path, wrong.message)
}

func (c *checker) checkSyntax() {
	for _, f := range c.doc.faults {
		c.add(f.line, f.column, "write the line as TOML, such as key = \"text\" or key = 1", "not TOML: %s", f.message)
	}
}

func (c *checker) checkItems() {
	for _, it := range c.doc.items {
		if c.checkRepeat(it) {
			continue
		}
		c.seen[it.path] = it
		c.checkItem(it)
	}
}

// checkRepeat reports whether a path was given before.
func (c *checker) checkRepeat(it item) bool {
	first, ok := c.seen[it.path]
	if !ok {
		return false
	}
	c.addAt(it, refuse("keep one of them", "given before at line %d", first.line))
	return true
}

func (c *checker) checkItem(it item) {
	if slices.Contains(sections(), it.path) {
		c.checkSection(it)
		return
	}
	i := slices.IndexFunc(keys, func(k Key) bool { return k.path == it.path })
	if i < 0 {
		c.checkUnknown(it)
		return
	}
	wrong := keys[i].assign(c.settings, it)
	c.good[it.path] = wrong == nil
	if wrong != nil {
		c.addAt(it, wrong)
	}
}

func (c *checker) checkSection(it item) {
	switch it.kind {
	case unstable.Table:
	case unstable.ArrayTable:
		c.addAt(it, refuse(fmt.Sprintf("write [%s]", it.path), "the section is given as a list"))
	default:
		c.addAt(it, refuse(fmt.Sprintf("write [%s] and its keys below", it.path), "this is a section, not a value"))
	}
}

// checkUnknown reports an unknown key once: the keys within an unknown
// section are not reported again.
func (c *checker) checkUnknown(it item) {
	for parent := it.path; strings.Contains(parent, "."); {
		parent = parent[:strings.LastIndex(parent, ".")]
		if _, ok := c.seen[parent]; ok && !slices.Contains(sections(), parent) {
			return
		}
	}
	what := "unknown key"
	if it.kind == unstable.Table || it.kind == unstable.ArrayTable {
		what = "unknown section"
	}
	c.addAt(it, &reason{message: what, remedy: suggest(it)})
}

// checkMissing reports required keys that were not given; behind a syntax
// fault it can't tell.
func (c *checker) checkMissing() {
	if len(c.doc.faults) > 0 {
		return
	}
	for _, k := range keys {
		if _, ok := c.seen[k.path]; k.required && !ok {
			c.add(1, 1, fmt.Sprintf("add %s: %s", k.path, k.bound), "%s: the key is missing", k.path)
		}
	}
}
