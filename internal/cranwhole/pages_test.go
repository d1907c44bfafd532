package cranwhole

import (
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	fencedBlock = regexp.MustCompile("(?ms)^```.*?^```")
	codeSpan    = regexp.MustCompile("`[^`]+`")
	pageName    = regexp.MustCompile(`\b(?:Test[A-Z]\w*|cran\w+(?:\.[A-Z]\w*){1,2})`)
)

// TestNamesOnPagesExist guards against pages that keep the old name of a renamed
// test or identifier.
func TestNamesOnPagesExist(t *testing.T) {
	declared := declaredNames(t)
	pages, err := filepath.Glob("../../docs/*.md")
	require.NoError(t, err)
	require.NotEmpty(t, pages)
	for _, page := range append(pages, "../../README.md", "../../DEVELOPERS.md") {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, span := range codeSpan.FindAllString(fencedBlock.ReplaceAllString(string(text), ""), -1) {
			for _, name := range pageName.FindAllString(span, -1) {
				assert.True(t, declared[name], "%s names %s, which no Go file declares", page, name)
			}
		}
	}
}

// declaredNames returns the names that Go files declare at package level: tests as
// TestName, all names as package.Name, fields and methods as package.Type.Name.
func declaredNames(t *testing.T) map[string]bool {
	declared := map[string]bool{}
	require.NoError(t, filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				name := n.Name.Name
				if n.Recv != nil {
					receiver, _, _ := strings.Cut(types.ExprString(n.Recv.List[0].Type), "[")
					name = strings.TrimPrefix(receiver, "*") + "." + name
				} else if strings.HasSuffix(path, "_test.go") {
					declared[name] = true
				}
				declared[file.Name.Name+"."+name] = true
			case *ast.TypeSpec:
				declared[file.Name.Name+"."+n.Name.Name] = true
				if s, ok := n.Type.(*ast.StructType); ok {
					for _, field := range s.Fields.List {
						for _, name := range field.Names {
							declared[file.Name.Name+"."+n.Name.Name+"."+name.Name] = true
						}
					}
				}
			case *ast.ValueSpec:
				for _, name := range n.Names {
					declared[file.Name.Name+"."+name.Name] = true
				}
			case *ast.File, *ast.GenDecl:
				return true
			}
			return false
		})
		return nil
	}))
	return declared
}
