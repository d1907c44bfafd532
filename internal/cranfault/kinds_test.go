package cranfault

import (
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKindsListsEveryConstant compares Kinds with the constants in the source file,
// so that a new kind can't be missing from the counters.
func TestKindsListsEveryConstant(t *testing.T) {
	source, err := os.ReadFile("fault.go")
	require.NoError(t, err)
	var constants []Kind
	for _, m := range regexp.MustCompile(`(?m)^\t\w+ +Kind = "(\w+)"$`).FindAllSubmatch(source, -1) {
		constants = append(constants, Kind(m[1]))
	}
	require.Equal(t, constants, Kinds(), "add the kind to kinds.go")
	require.Equal(t, len(constants), strings.Count(string(source), " Kind = "))
	seen := map[Kind]bool{}
	for _, k := range constants {
		require.False(t, seen[k], "%s is declared twice", k)
		seen[k] = true
	}
}

// TestOperatorsPage checks that the table in docs/operators.md lists exactly the
// existing kinds, each with a meaning and a remedy.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "\n## Refusals\n")
	require.True(t, found)
	section, _, _ = strings.Cut(section, "\n## ")
	var listed []Kind
	for _, m := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\|([^|]*)\\|([^|]*)\\|$").FindAllStringSubmatch(section, -1) {
		listed = append(listed, Kind(m[1]))
		require.NotEmpty(t, strings.TrimSpace(m[2]), "meaning of %s", m[1])
		require.NotEmpty(t, strings.TrimSpace(m[3]), "remedy of %s", m[1])
	}
	require.Equal(t, Kinds(), listed)
}

// TestFaultMatchesThroughWrapping checks that MatchKind and KindOf find a fault that
// is wrapped in other errors.
func TestFaultMatchesThroughWrapping(t *testing.T) {
	f := New(BudgetSpent, "wait", "pool %s", "vets")
	wrapped := fmt.Errorf("stop: %w", errors.Join(errors.New("other"), f))
	require.ErrorIs(t, wrapped, MatchKind(BudgetSpent))
	require.NotErrorIs(t, wrapped, MatchKind(Busy))
	require.Equal(t, BudgetSpent, KindOf(wrapped))
	require.Empty(t, KindOf(errors.New("other")))
	require.Equal(t, "budgetSpent: pool vets; remedy: wait", f.Error())
}
