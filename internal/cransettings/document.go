package cransettings

import (
	"bytes"
	"errors"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/pelletier/go-toml/v2/unstable"
)

// item is one key with its value, or the header of a section.
type item struct {
	path string
	// line and column are those of the key's first character.
	line, column int
	kind         unstable.Kind
	// text is the value of a scalar: unquoted for a string.
	text string
	// elements are those of an array, in order.
	elements []item
}

// syntaxFault is a place where the file is not TOML.
type syntaxFault struct {
	line, column int
	message      string
}

// document is a settings file taken apart, with positions.
type document struct {
	items  []item
	faults []syntaxFault
}

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// readDocument takes a file apart. After a syntax fault it goes on with the
// next line, or with the next section when a section's header is broken.
func readDocument(data []byte) document {
	r := reader{data: data}
	for r.from < len(data) {
		if !r.readPart() {
			break
		}
	}
	return r.doc
}

// reader walks over the parts of a file between syntax faults.
type reader struct {
	data []byte
	// from is the offset of the part being read.
	from    int
	section []string
	parser  unstable.Parser
	doc     document
}

// readPart reads up to the next syntax fault and reports whether there was
// one, so that reading must go on behind it.
func (r *reader) readPart() bool {
	r.parser.Reset(r.data[r.from:])
	for r.parser.NextExpression() {
		r.expression(r.parser.Expression())
	}
	err := r.parser.Error()
	if err == nil {
		return false
	}
	at := r.from + r.faultOffset(err)
	line, column := position(r.data, at)
	r.doc.faults = append(r.doc.faults, syntaxFault{line: line, column: column, message: err.Error()})
	r.from = resume(r.data, max(at, r.from))
	return true
}

func (r *reader) faultOffset(err error) int {
	var p *unstable.ParserError
	if !errors.As(err, &p) || len(p.Highlight) == 0 {
		return 0
	}
	return int(r.parser.Range(p.Highlight).Offset)
}

// resume returns the offset behind the broken line at offset at.
func resume(data []byte, at int) int {
	at = min(at, len(data))
	start := bytes.LastIndexByte(data[:at], '\n') + 1
	header := bytes.HasPrefix(bytes.TrimLeft(data[start:], " \t"), []byte("["))
	next := nextLine(data, at)
	for header && next < len(data) {
		if bytes.HasPrefix(bytes.TrimLeft(data[next:], " \t"), []byte("[")) {
			break
		}
		next = nextLine(data, next)
	}
	return next
}

func nextLine(data []byte, at int) int {
	n := bytes.IndexByte(data[at:], '\n')
	if n < 0 {
		return len(data)
	}
	return at + n + 1
}

func (r *reader) expression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table, unstable.ArrayTable:
		path, at := r.key(nil, node)
		r.section = path
		r.add(path, at, node.Kind, "")
	case unstable.KeyValue:
		r.keyValue(r.section, node)
	}
}

func (r *reader) keyValue(parent []string, node *unstable.Node) {
	path, at := r.key(parent, node)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		r.add(path, at, value.Kind, string(value.Data))
		r.addElements(value)
		return
	}
	r.add(path, at, unstable.Table, "")
	children := value.Children()
	for children.Next() {
		r.keyValue(path, children.Node())
	}
}

// addElements gives the last item the elements of its array. They stand at
// the position of the key.
func (r *reader) addElements(value *unstable.Node) {
	if value.Kind != unstable.Array {
		return
	}
	it := &r.doc.items[len(r.doc.items)-1]
	children := value.Children()
	for children.Next() {
		child := children.Node()
		it.elements = append(it.elements, item{
			path: it.path, line: it.line, column: it.column, kind: child.Kind, text: string(child.Data),
		})
	}
}

// key returns the path of a node's key below parent and its offset.
func (r *reader) key(parent []string, node *unstable.Node) ([]string, int) {
	path := append([]string(nil), parent...)
	offset := -1
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		if offset < 0 {
			offset = r.from + int(part.Raw.Offset)
		}
		path = append(path, string(part.Data))
	}
	return path, offset
}

func (r *reader) add(path []string, offset int, kind unstable.Kind, text string) {
	line, column := position(r.data, offset)
	r.doc.items = append(r.doc.items, item{
		path: joinPath(path), line: line, column: column, kind: kind, text: text,
	})
}

func joinPath(parts []string) string {
	shown := make([]string, 0, len(parts))
	for _, p := range parts {
		if !bareKey.MatchString(p) {
			p = strconv.Quote(p)
		}
		shown = append(shown, p)
	}
	return strings.Join(shown, ".")
}

// position returns line and column of an offset, counted from one.
func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	start := bytes.LastIndexByte(before, '\n') + 1
	return line, utf8.RuneCount(before[start:]) + 1
}
