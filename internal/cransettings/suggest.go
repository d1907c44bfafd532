package cransettings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxEditDistance bounds the edit distance between an unknown key and a known
// key that is suggested instead.
const maxEditDistance = 4

// suggest returns the remedy for an unknown key or section. It names the known
// key or section with the smallest edit distance, if one is near enough.
func suggest(it item) string {
	candidates := sectionNames()
	if it.kind != unstable.Table && it.kind != unstable.ArrayTable {
		candidates = candidates[:0:0]
		for _, k := range keys {
			candidates = append(candidates, k.path)
		}
	}
	best, bestDistance := "", maxEditDistance+1
	for _, k := range candidates {
		if d := keyDistance(it.path, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return "remove it, or see the table of keys in docs/settings.md"
	}
	return "did you mean " + best + "?"
}

// keyDistance returns the edit distance between two keys. It ignores case,
// hyphens and underscores, and counts a wrong section as at most one edit.
func keyDistance(given, known string) int {
	given, known = normaliseKey(given), normaliseKey(known)
	d := editDistance(given, known)
	lastGiven := given[strings.LastIndex(given, ".")+1:]
	lastKnown := known[strings.LastIndex(known, ".")+1:]
	if lastGiven == lastKnown {
		d = min(d, 1)
	}
	return d
}

func normaliseKey(key string) string {
	return strings.NewReplacer("_", "", "-", "").Replace(strings.ToLower(key))
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
