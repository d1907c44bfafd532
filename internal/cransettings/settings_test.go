package cransettings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

func golden(t *testing.T) *goldie.Goldie {
	return goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithNameSuffix(".golden"))
}

func TestParseFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".toml")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			s, err := Parse(name+".toml", data)
			golden(t).Assert(t, name, []byte(formatResult(s, err)))
		})
	}
}

// formatResult returns the faults, or the value of every key if there are none.
func formatResult(s *Settings, err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	var b strings.Builder
	for _, k := range Keys() {
		fmt.Fprintf(&b, "%s = %s\n", k.Path(), k.Value(s))
	}
	return b.String()
}

func TestFaultsAreTyped(t *testing.T) {
	_, err := Parse("x.toml", nil)
	require.ErrorIs(t, err, cranfault.MatchKind(cranfault.Invalid))
	require.Len(t, FaultsOf(err), 5)
	require.Nil(t, FaultsOf(errors.New("other")))
}

func TestLoad(t *testing.T) {
	_, err := Load("testdata/none.toml")
	require.ErrorIs(t, err, os.ErrNotExist)
	s, err := Load("testdata/full.toml")
	require.NoError(t, err)
	require.Equal(t, "10.0.0.7", s.Advertise().String())
	require.Equal(t, "http://10.0.0.1:9000", s.Platform())
	m, err := Load("testdata/minimal.toml")
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1", m.Advertise().String())
}

func TestFileTooLarge(t *testing.T) {
	_, err := Parse("x.toml", []byte(strings.Repeat("#\n", maxFileBytes)))
	require.ErrorContains(t, err, "keep a settings file under")
}

// FuzzParse checks that the parser never panics and that every fault has a
// position within the file.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*.toml")
	require.NoError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("x.toml", data)
		lines := strings.Count(string(data), "\n") + 1
		for _, one := range FaultsOf(err) {
			require.LessOrEqual(t, one.Line(), lines)
			require.Positive(t, one.Column())
		}
	})
}

// TestSettingsPage checks that docs/settings.md has exactly one row for each
// key, that its example is valid, and that it quotes the faults of entry.toml.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	require.NoError(t, err)
	var rows []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	var want []string
	for _, k := range Keys() {
		want = append(want, pageRow(k))
	}
	require.Equal(t, strings.Join(want, "\n"), strings.Join(rows, "\n"), "replace the table in docs/settings.md by the expected rows")
	_, example, _ := strings.Cut(string(page), "```toml\n")
	example, _, _ = strings.Cut(example, "```")
	_, err = Parse("page.toml", []byte(example))
	require.NoError(t, err)
	require.Contains(t, string(page), string(golden(t).GoldenFileData(t, "entry")))
}

// TestIntegerBounds checks the values at and next to both bounds of every
// integer key.
func TestIntegerBounds(t *testing.T) {
	for _, k := range Keys() {
		if k.Kind() != kindInteger {
			continue
		}
		var low, high int
		_, err := fmt.Sscanf(k.AllowedValues(), "%d to %d", &low, &high)
		require.NoError(t, err)
		for n, accepted := range map[int]bool{low - 1: false, low: true, high: true, high + 1: false} {
			refused := k.assign(&Settings{}, item{kind: unstable.Integer, text: fmt.Sprint(n)})
			require.Equal(t, accepted, refused == nil, "%s = %d", k.Path(), n)
		}
	}
}

// pageRow returns the row of docs/settings.md that describes a key.
func pageRow(k Key) string {
	defaultValue := "`" + k.Default() + "`"
	if k.Required() {
		defaultValue = "required"
	} else if k.Default() == "" {
		defaultValue = "none"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", k.Path(), k.Kind(), k.Unit(), defaultValue, k.AllowedValues(), k.Description())
}
