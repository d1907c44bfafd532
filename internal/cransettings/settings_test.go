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
			golden(t).Assert(t, name, []byte(outcome(s, err)))
		})
	}
}

// outcome prints the faults, or the value of every key when there are none.
func outcome(s *Settings, err error) string {
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

func TestTooLarge(t *testing.T) {
	_, err := Parse("x.toml", []byte(strings.Repeat("#\n", maxFileBytes)))
	require.ErrorContains(t, err, "keep a settings file under")
}

// FuzzParse checks that no file makes the parser fail otherwise than by
// faults with a position inside the file.
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

// TestPage checks that docs/settings.md holds the table of keys that the code
// has, no more and no less.
func TestPage(t *testing.T) {
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
		want = append(want, row(k))
	}
	require.Equal(t, strings.Join(want, "\n"), strings.Join(rows, "\n"), "paste the wanted rows into the page")
	_, example, _ := strings.Cut(string(page), "```toml\n")
	example, _, _ = strings.Cut(example, "```")
	_, err = Parse("page.toml", []byte(example))
	require.NoError(t, err)
	require.Contains(t, string(page), string(golden(t).GoldenFileData(t, "entry")))
}

// TestIntegerBounds checks both ends of every integer key's bound.
func TestIntegerBounds(t *testing.T) {
	for _, k := range Keys() {
		if k.Kind() != kindInteger {
			continue
		}
		var low, high int
		_, err := fmt.Sscanf(k.AllowedValues(), "%d to %d", &low, &high)
		require.NoError(t, err)
		for n, taken := range map[int]bool{low - 1: false, low: true, high: true, high + 1: false} {
			wrong := k.assign(&Settings{}, item{kind: unstable.Integer, text: fmt.Sprint(n)})
			require.Equal(t, taken, wrong == nil, "%s = %d", k.Path(), n)
		}
	}
}

func row(k Key) string {
	standard := "`" + k.Default() + "`"
	if k.Required() {
		standard = "required"
	} else if k.Default() == "" {
		standard = "none"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", k.Path(), k.Kind(), k.Unit(), standard, k.AllowedValues(), k.Description())
}
