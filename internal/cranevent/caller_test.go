package cranevent

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCallersUseListedFields reads every call of Emit in the module and checks that
// its fields are listed by the definition of the event.
func TestCallersUseListedFields(t *testing.T) {
	keys := constructorKeys(t)
	require.Contains(t, keys, "Offset")
	events := constantEvents(t)
	calls := 0
	walkSources(t, func(path string) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) == 0 || !strings.EqualFold(selected(call.Fun, ""), "emit") {
				return true
			}
			event, ok := events[selected(call.Args[0], "cranevent")]
			if !ok {
				return true
			}
			calls++
			checkCall(t, path, event, call.Args[1:], keys)
			return true
		})
	})
	require.NotZero(t, calls)
}

// TestEveryEventIsEmitted checks that every event in the catalogue is used by
// another package.
func TestEveryEventIsEmitted(t *testing.T) {
	used := map[string]bool{}
	use := regexp.MustCompile(`\bcranevent\.(\w+)`)
	walkSources(t, func(path string) {
		source, err := os.ReadFile(path)
		require.NoError(t, err)
		for _, m := range use.FindAllSubmatch(source, -1) {
			used[string(m[1])] = true
		}
	})
	events := constantEvents(t)
	require.NotEmpty(t, events)
	for name := range events {
		require.True(t, used[name], "emit %s, or retire its number", name)
	}
}

// walkSources visits the non-test sources of the module's internal packages and of
// the platform adapter.
func walkSources(t *testing.T, visit func(path string)) {
	for _, root := range []string{"..", "../../platform"} {
		require.NoError(t, filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			visit(path)
			return nil
		}))
	}
}

func checkCall(t *testing.T, path string, event Event, fields []ast.Expr, keys map[string]Key) {
	d, _ := event.Definition()
	for _, f := range fields {
		call, ok := f.(*ast.CallExpr)
		if !ok {
			continue
		}
		name := selected(call.Fun, "cranevent")
		key, ok := keys[name]
		require.True(t, ok || name == "", "%s: %s is not a constructor of a field", path, name)
		assert.True(t, name == "" || slices.Contains(d.fields, key),
			"%s: event %s doesn't list the field %s", path, d.name, key)
	}
}

// selected returns the name selected by the expression operand.name, or the empty
// string for another expression. An empty operand matches every operand.
func selected(e ast.Expr, operand string) string {
	s, ok := e.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if x, ok := s.X.(*ast.Ident); operand != "" && (!ok || x.Name != operand) {
		return ""
	}
	return s.Sel.Name
}

// constructorKeys maps the names of field constructors to the keys of their fields.
func constructorKeys(t *testing.T) map[string]Key {
	constants := sourceMatches(t, "field.go", `(?m)^\t(Key\w+) +Key = "(\w+)"`)
	keys := map[string]Key{}
	for name, constant := range sourceMatches(t, "field.go", `(?s)\nfunc (\w+)[^\n]*\) Field \{.{0,30}?(?:return|Field\{)[^\n]*?(Key[A-Z]\w+)`) {
		keys[name] = Key(constants[constant])
	}
	return keys
}

// constantEvents maps the names of the constants in event.go to their events.
func constantEvents(t *testing.T) map[string]Event {
	events := map[string]Event{}
	for name, text := range sourceMatches(t, "event.go", `(?m)^\t(\w+) +Event = (\d+)$`) {
		number, err := strconv.Atoi(text)
		require.NoError(t, err)
		events[name] = Event(number)
	}
	return events
}

// sourceMatches maps the first group of each match of the pattern in a file to the
// second group.
func sourceMatches(t *testing.T, file, pattern string) map[string]string {
	source, err := os.ReadFile(file)
	require.NoError(t, err)
	found := map[string]string{}
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(source), -1) {
		found[m[1]] = m[2]
	}
	require.NotEmpty(t, found)
	return found
}
