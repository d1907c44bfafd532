package cranfleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// schema describes the type of a value in an encoded configuration.
type schema struct {
	kind valueKind
	// fields is set for an object, in the order of the encoding. All fields are
	// required.
	fields []field
	// element is set for a list.
	element *schema
}

// field is the name and the schema of a field of an object.
type field struct {
	name   string
	schema schema
}

// valueKind is the kind of a JSON value, as it is named in messages.
type valueKind string

const (
	kindObject  valueKind = "an object"
	kindList    valueKind = "a list"
	kindString  valueKind = "a string"
	kindInteger valueKind = "an integer"
	kindNumber  valueKind = "a number"
)

// configSchema is the schema of wireConfig.
var configSchema = schema{kind: kindObject, fields: []field{
	{"name", schema{kind: kindString}},
	{"spare", schema{kind: kindString}},
	{"pools", schema{kind: kindList, element: &schema{kind: kindObject, fields: []field{
		{"name", schema{kind: kindString}},
		{"instances", schema{kind: kindInteger}},
	}}}},
	{"services", schema{kind: kindList, element: &schema{kind: kindObject, fields: []field{
		{"name", schema{kind: kindString}},
		{"pool", schema{kind: kindString}},
		{"maxUnavailable", schema{kind: kindInteger}},
		{"maxDurationMs", schema{kind: kindInteger}},
		{"maxQueue", schema{kind: kindInteger}},
	}}}},
	{"prices", schema{kind: kindObject, fields: []field{
		{"move", schema{kind: kindNumber}},
		{"idleSecond", schema{kind: kindNumber}},
		{"lateRequest", schema{kind: kindNumber}},
	}}},
}}

// schemaChecker checks an encoded configuration against configSchema and records
// the position of each value. encoding/json alone would accept repeated names,
// of which the last one wins, and names in another case.
type schemaChecker struct {
	data    []byte
	decoder *json.Decoder
	faults  faultList
	// positions holds the position of every value by its path.
	positions map[string]Position
	// scannedOffset is the offset up to which lines have been counted, line is
	// the line there, and lineStart is the offset of its first byte.
	scannedOffset, line, lineStart int
}

func newSchemaChecker(data []byte) *schemaChecker {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return &schemaChecker{data: data, decoder: d, positions: make(map[string]Position), line: 1}
}

// check checks the whole input and returns its faults as a *Faults.
func (c *schemaChecker) check() error {
	if err := c.checkValue("configuration", configSchema); err != nil {
		c.faults.add(c.position("configuration"), "encode the configuration again with the library", "invalid JSON: %v", err)
		return c.faults.err()
	}
	if rest := c.data[c.decoder.InputOffset():]; len(bytes.TrimSpace(rest)) > 0 {
		c.faults.add(c.position("configuration"), "remove it", "there is data after the configuration")
	}
	return c.faults.err()
}

// position returns the position of the next token, with the given path.
func (c *schemaChecker) position(path string) Position {
	offset := int(c.decoder.InputOffset())
	for offset < len(c.data) && strings.IndexByte(" \t\r\n,:", c.data[offset]) >= 0 {
		offset++
	}
	for ; c.scannedOffset < offset; c.scannedOffset++ {
		if c.data[c.scannedOffset] == '\n' {
			c.line++
			c.lineStart = c.scannedOffset + 1
		}
	}
	return Position{part: path, line: c.line, column: offset - c.lineStart + 1, order: offset}
}

// checkValue checks the next value. It returns an error only if the input is not
// valid JSON; other faults are added to the list.
func (c *schemaChecker) checkValue(path string, s schema) error {
	at := c.position(path)
	c.positions[path] = at
	got := c.nextKind(at)
	matches := got == s.kind || got == kindInteger && s.kind == kindNumber
	if !matches {
		var skipped json.RawMessage
		if err := c.decoder.Decode(&skipped); err != nil {
			return err
		}
		c.faults.add(at, "give "+string(s.kind), "this is %s, not %s", got, s.kind)
		return nil
	}
	switch s.kind {
	case kindObject:
		return c.checkObject(path, at, s)
	case kindList:
		return c.checkList(path, *s.element)
	}
	return c.checkScalar(at, s)
}

// nextKind returns the kind of the value that begins at a position, whose order is
// its byte offset.
func (c *schemaChecker) nextKind(at Position) valueKind {
	if at.order >= len(c.data) {
		return "nothing"
	}
	switch first := c.data[at.order]; {
	case first == '{':
		return kindObject
	case first == '[':
		return kindList
	case first == '"':
		return kindString
	case first == '-' || first >= '0' && first <= '9':
		return c.numberKind(at.order)
	}
	return "a literal"
}

func (c *schemaChecker) numberKind(offset int) valueKind {
	rest := c.data[offset:]
	end := bytes.IndexFunc(rest, func(char rune) bool { return !strings.ContainsRune("+-.eE0123456789", char) })
	if end < 0 {
		end = len(rest)
	}
	if bytes.ContainsAny(rest[:end], ".eE") {
		return kindNumber
	}
	return kindInteger
}

func (c *schemaChecker) checkScalar(at Position, s schema) error {
	token, err := c.decoder.Token()
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
		c.faults.add(at, "give a number within the range of the field", "%.40s is out of range", number)
	}
	return nil
}

func (c *schemaChecker) checkList(path string, element schema) error {
	if _, err := c.decoder.Token(); err != nil {
		return err
	}
	for i := 0; c.decoder.More(); i++ {
		if err := c.checkValue(fmt.Sprintf("%s[%d]", path, i), element); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *schemaChecker) checkObject(path string, at Position, s schema) error {
	if _, err := c.decoder.Token(); err != nil {
		return err
	}
	seen := make(map[string]bool, len(s.fields))
	for c.decoder.More() {
		if err := c.checkField(path, s, seen); err != nil {
			return err
		}
	}
	for _, f := range s.fields {
		if !seen[f.name] {
			c.faults.add(at, "add it", "the field %s is missing", f.name)
		}
	}
	_, err := c.decoder.Token()
	return err
}

// checkField checks the next name of an object and its value.
func (c *schemaChecker) checkField(path string, s schema, seen map[string]bool) error {
	at := c.position(path)
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	name, _ := token.(string)
	i := slices.IndexFunc(s.fields, func(f field) bool { return f.name == name })
	if i >= 0 && !seen[name] {
		seen[name] = true
		return c.checkValue(fieldPath(path, name), s.fields[i].schema)
	}
	if i >= 0 {
		c.faults.add(at, "keep one", "the field %s is given twice", name)
	} else {
		c.faults.add(at, "remove it", "unknown field %.80q", name)
	}
	var skipped json.RawMessage
	return c.decoder.Decode(&skipped)
}

func fieldPath(path, name string) string {
	if path == "configuration" {
		return name
	}
	return path + "." + name
}
