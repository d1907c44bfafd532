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

// maxFileBytes bounds the size of a settings file.
const maxFileBytes = 64 * kib

// Load reads and parses a settings file. Its error is a *Faults, or the wrapped
// error of reading the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read the settings; give the path of a readable TOML file")
	}
	return Parse(path, data)
}

// Parse parses the content of a settings file. The name appears in faults only.
// Its error is a *Faults with all faults of the file.
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

// checker fills in the settings from a document and collects its faults.
type checker struct {
	file     string
	doc      document
	settings *Settings
	// firstItems holds the first item of every path.
	firstItems map[string]item
	// accepted maps the path of each key to whether its value or its default is
	// valid. A required key that is missing has no valid value.
	accepted map[string]bool
	faults   []*Fault
}

func newChecker(file string, doc document) *checker {
	c := &checker{
		file: file, doc: doc, settings: &Settings{},
		firstItems: make(map[string]item), accepted: make(map[string]bool),
	}
	for _, k := range keys {
		k.setDefault(c.settings)
		c.accepted[k.path] = !k.required
	}
	return c
}

func (c *checker) addFault(line, column int, remedy, format string, args ...any) {
	c.faults = append(c.faults, &Fault{
		file: c.file, line: line, column: column,
		fault: cranfault.New(cranfault.Invalid, remedy, format, args...),
	})
}

func (c *checker) addRefusal(it item, refused *refusal) {
	c.addFault(it.line, it.column, refused.remedy, "%s: %s", it.path, refused.message)
}

func (c *checker) checkSyntax() {
	for _, f := range c.doc.faults {
		c.addFault(f.line, f.column, "write the line as TOML, such as key = \"text\" or key = 1", "invalid TOML: %s", f.message)
	}
}

func (c *checker) checkItems() {
	for _, it := range c.doc.items {
		if c.checkDuplicate(it) {
			continue
		}
		c.firstItems[it.path] = it
		c.checkItem(it)
	}
}

// checkDuplicate reports whether a path was given before, and adds a fault if
// it was.
func (c *checker) checkDuplicate(it item) bool {
	first, ok := c.firstItems[it.path]
	if !ok {
		return false
	}
	c.addRefusal(it, newRefusal("keep one of them", "already given at line %d", first.line))
	return true
}

func (c *checker) checkItem(it item) {
	if slices.Contains(sectionNames(), it.path) {
		c.checkSection(it)
		return
	}
	i := slices.IndexFunc(keys, func(k Key) bool { return k.path == it.path })
	if i < 0 {
		c.checkUnknown(it)
		return
	}
	refused := keys[i].assign(c.settings, it)
	c.accepted[it.path] = refused == nil
	if refused != nil {
		c.addRefusal(it, refused)
	}
}

func (c *checker) checkSection(it item) {
	switch it.kind {
	case unstable.Table:
	case unstable.ArrayTable:
		c.addRefusal(it, newRefusal(fmt.Sprintf("write [%s]", it.path), "the section is written as an array of tables"))
	default:
		c.addRefusal(it, newRefusal(fmt.Sprintf("write [%s] and its keys below", it.path), "this is a section, not a value"))
	}
}

// checkUnknown adds a fault for an unknown key or section. It adds none for a
// key within an unknown section, since the section has a fault already.
func (c *checker) checkUnknown(it item) {
	for parent := it.path; strings.Contains(parent, "."); {
		parent = parent[:strings.LastIndex(parent, ".")]
		if _, ok := c.firstItems[parent]; ok && !slices.Contains(sectionNames(), parent) {
			return
		}
	}
	what := "unknown key"
	if it.kind == unstable.Table || it.kind == unstable.ArrayTable {
		what = "unknown section"
	}
	c.addRefusal(it, &refusal{message: what, remedy: suggest(it)})
}

// checkMissing adds a fault for each required key that is missing. It adds none
// if the file has a syntax fault, since the key may be in the part that was
// skipped.
func (c *checker) checkMissing() {
	if len(c.doc.faults) > 0 {
		return
	}
	for _, k := range keys {
		if _, ok := c.firstItems[k.path]; k.required && !ok {
			c.addFault(1, 1, fmt.Sprintf("add %s: %s", k.path, k.allowed), "%s: the key is missing", k.path)
		}
	}
}
