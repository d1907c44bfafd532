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

// item is a key with its value, or the header of a section.
type item struct {
	path string
	// line and column are those of the key's first character.
	line, column int
	kind         unstable.Kind
	// text is the value of a scalar, without quotes for a string.
	text string
	// elements holds the elements of an array, in order.
	elements []item
}

// syntaxFault is a position at which the file is not valid TOML.
type syntaxFault struct {
	line, column int
	message      string
}

// document is a parsed settings file: its items with their positions and its
// syntax faults.
type document struct {
	items  []item
	faults []syntaxFault
}

var bareKey = regexp.MustCompile(`^[A-Za-z0-9_-]+$`)

// readDocument parses a file. After a syntax fault it continues at the next
// line, or at the next section if the fault is in a section header.
func readDocument(data []byte) document {
	r := reader{data: data}
	for r.start < len(data) {
		if !r.readUntilFault() {
			break
		}
	}
	return r.doc
}

// reader parses a file piece by piece; each piece ends at a syntax fault or
// at the end of the file.
type reader struct {
	data []byte
	// start is the offset of the current piece.
	start int
	// section is the path of the current section, which a new piece continues.
	section []string
	parser  unstable.Parser
	doc     document
}

// readUntilFault reads up to the next syntax fault or the end of the file. It
// reports whether there was a fault, after which reading continues at r.start.
func (r *reader) readUntilFault() bool {
	r.parser.Reset(r.data[r.start:])
	for r.parser.NextExpression() {
		r.addExpression(r.parser.Expression())
	}
	err := r.parser.Error()
	if err == nil {
		return false
	}
	at := r.start + r.faultOffset(err)
	line, column := position(r.data, at)
	r.doc.faults = append(r.doc.faults, syntaxFault{line: line, column: column, message: err.Error()})
	r.start = skipBrokenLine(r.data, max(at, r.start))
	return true
}

// faultOffset returns the offset of a syntax error relative to the current
// piece, or 0 if the error has none.
func (r *reader) faultOffset(err error) int {
	var p *unstable.ParserError
	if !errors.As(err, &p) || len(p.Highlight) == 0 {
		return 0
	}
	return int(r.parser.Range(p.Highlight).Offset)
}

// skipBrokenLine returns the offset at which parsing continues after a syntax
// fault at offset at: the next line, or the next section header if the faulty
// line is a section header, so that the keys below it are not read as keys of
// the section before.
func skipBrokenLine(data []byte, at int) int {
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

func (r *reader) addExpression(node *unstable.Node) {
	switch node.Kind {
	case unstable.Table, unstable.ArrayTable:
		path, at := r.resolveKey(nil, node)
		r.section = path
		r.addItem(path, at, node.Kind, "")
	case unstable.KeyValue:
		r.addKeyValue(r.section, node)
	}
}

func (r *reader) addKeyValue(parent []string, node *unstable.Node) {
	path, at := r.resolveKey(parent, node)
	value := node.Value()
	if value.Kind != unstable.InlineTable {
		r.addItem(path, at, value.Kind, string(value.Data))
		r.addElements(value)
		return
	}
	r.addItem(path, at, unstable.Table, "")
	children := value.Children()
	for children.Next() {
		r.addKeyValue(path, children.Node())
	}
}

// addElements adds the elements of an array to the last item. They get the
// position of the key.
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

// resolveKey returns the path of a node's key below parent and the key's
// offset.
func (r *reader) resolveKey(parent []string, node *unstable.Node) ([]string, int) {
	path := append([]string(nil), parent...)
	offset := -1
	parts := node.Key()
	for parts.Next() {
		part := parts.Node()
		if offset < 0 {
			offset = r.start + int(part.Raw.Offset)
		}
		path = append(path, string(part.Data))
	}
	return path, offset
}

func (r *reader) addItem(path []string, offset int, kind unstable.Kind, text string) {
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

// position returns the line and the column in characters of an offset, both
// counted from one.
func position(data []byte, offset int) (line, column int) {
	before := data[:min(offset, len(data))]
	line = bytes.Count(before, []byte("\n")) + 1
	start := bytes.LastIndexByte(before, '\n') + 1
	return line, utf8.RuneCount(before[start:]) + 1
}
