package cranfleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// shape is the form of a value in a printed configuration.
type shape struct {
	kind shapeKind
	// fields is set for an object, in the order of printing; every field is
	// required.
	fields []field
	// element is set for a list.
	element *shape
}

type field struct {
	name  string
	shape shape
}

type shapeKind string

const (
	kindObject  shapeKind = "an object"
	kindList    shapeKind = "a list"
	kindString  shapeKind = "a string"
	kindInteger shapeKind = "an integer"
	kindNumber  shapeKind = "a number"
)

// configShape is the form of wireConfig.
var configShape = shape{kind: kindObject, fields: []field{
	{"name", shape{kind: kindString}},
	{"spare", shape{kind: kindString}},
	{"pools", shape{kind: kindList, element: &shape{kind: kindObject, fields: []field{
		{"name", shape{kind: kindString}},
		{"instances", shape{kind: kindInteger}},
	}}}},
	{"services", shape{kind: kindList, element: &shape{kind: kindObject, fields: []field{
		{"name", shape{kind: kindString}},
		{"pool", shape{kind: kindString}},
		{"maxUnavailable", shape{kind: kindInteger}},
		{"maxDurationMs", shape{kind: kindInteger}},
		{"maxQueue", shape{kind: kindInteger}},
	}}}},
	{"prices", shape{kind: kindObject, fields: []field{
		{"move", shape{kind: kindNumber}},
		{"idleSecond", shape{kind: kindNumber}},
		{"lateRequest", shape{kind: kindNumber}},
	}}},
}}

// reader compares a printed configuration with its shape and notes where
// each value stands. encoding/json alone takes repeated names, the last one
// winning, and names in another case.
type reader struct {
	data    []byte
	decoder *json.Decoder
	faults  faultList
	// places has the place of every object and value by its path.
	places map[string]Position
	// scanned, lines and lineStart are where the count of lines has come to.
	scanned, lines, lineStart int
}

func newReader(data []byte) *reader {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return &reader{data: data, decoder: d, places: make(map[string]Position), lines: 1}
}

// read checks the whole input and returns its faults.
func (r *reader) read() error {
	if err := r.value("configuration", configShape); err != nil {
		r.faults.add(r.place("configuration"), "print the configuration again with the library", "not JSON: %v", err)
		return r.faults.err()
	}
	if rest := r.data[r.decoder.InputOffset():]; len(bytes.TrimSpace(rest)) > 0 {
		r.faults.add(r.place("configuration"), "remove it", "there is something behind the configuration")
	}
	return r.faults.err()
}

// place returns the place of the next token for a path.
func (r *reader) place(path string) Position {
	offset := int(r.decoder.InputOffset())
	for offset < len(r.data) && strings.IndexByte(" \t\r\n,:", r.data[offset]) >= 0 {
		offset++
	}
	for ; r.scanned < offset; r.scanned++ {
		if r.data[r.scanned] == '\n' {
			r.lines++
			r.lineStart = r.scanned + 1
		}
	}
	return Position{part: path, line: r.lines, column: offset - r.lineStart + 1, order: offset}
}

// value checks the next value. Its error is one of JSON's syntax.
func (r *reader) value(path string, s shape) error {
	at := r.place(path)
	r.places[path] = at
	got := r.nextKind(at)
	fits := got == s.kind || got == kindInteger && s.kind == kindNumber
	if !fits {
		var skipped json.RawMessage
		if err := r.decoder.Decode(&skipped); err != nil {
			return err
		}
		r.faults.add(at, "give "+string(s.kind), "this is %s, not %s", got, s.kind)
		return nil
	}
	switch s.kind {
	case kindObject:
		return r.object(path, at, s)
	case kindList:
		return r.list(path, *s.element)
	}
	return r.scalar(at, s)
}

// nextKind tells the kind of the value that begins at a place.
func (r *reader) nextKind(at Position) shapeKind {
	if at.order >= len(r.data) {
		return "nothing"
	}
	switch c := r.data[at.order]; {
	case c == '{':
		return kindObject
	case c == '[':
		return kindList
	case c == '"':
		return kindString
	case c == '-' || c >= '0' && c <= '9':
		return r.nextNumber(at.order)
	}
	return "a literal"
}

func (r *reader) nextNumber(offset int) shapeKind {
	rest := r.data[offset:]
	end := bytes.IndexFunc(rest, func(c rune) bool { return !strings.ContainsRune("+-.eE0123456789", c) })
	if end < 0 {
		end = len(rest)
	}
	if bytes.ContainsAny(rest[:end], ".eE") {
		return kindNumber
	}
	return kindInteger
}

func (r *reader) scalar(at Position, s shape) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	number, ok := token.(json.Number)
	if !ok {
		return nil
	}
	if s.kind == kindInteger {
		_, err = strconv.ParseInt(number.String(), 10, 64)
	} else {
		_, err = number.Float64()
	}
	if err != nil {
		r.faults.add(at, "give a number within the bounds of the library", "%.40s is out of range", number)
	}
	return nil
}

func (r *reader) list(path string, element shape) error {
	if _, err := r.decoder.Token(); err != nil {
		return err
	}
	for i := 0; r.decoder.More(); i++ {
		if err := r.value(fmt.Sprintf("%s[%d]", path, i), element); err != nil {
			return err
		}
	}
	_, err := r.decoder.Token()
	return err
}

func (r *reader) object(path string, at Position, s shape) error {
	if _, err := r.decoder.Token(); err != nil {
		return err
	}
	seen := make(map[string]bool, len(s.fields))
	for r.decoder.More() {
		if err := r.member(path, s, seen); err != nil {
			return err
		}
	}
	for _, f := range s.fields {
		if !seen[f.name] {
			r.faults.add(at, "add it", "the field %s is missing", f.name)
		}
	}
	_, err := r.decoder.Token()
	return err
}

// member checks one name and its value.
func (r *reader) member(path string, s shape, seen map[string]bool) error {
	at := r.place(path)
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	i := slices.IndexFunc(s.fields, func(f field) bool { return f.name == name })
	if i >= 0 && !seen[name] {
		seen[name] = true
		return r.value(memberPath(path, name), s.fields[i].shape)
	}
	if i >= 0 {
		r.faults.add(at, "keep one", "the field %s is given twice", name)
	} else {
		r.faults.add(at, "remove it", "unknown field %.80q", name)
	}
	var skipped json.RawMessage
	return r.decoder.Decode(&skipped)
}

func memberPath(path, name string) string {
	if path == "configuration" {
		return name
	}
	return path + "." + name
}
