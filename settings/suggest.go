package settings

import (
	"maps"
	"reflect"
	"slices"
)

// maxSuggestionDistance is the maximum edit distance between an unknown field and the
// known field that is suggested for it.
const maxSuggestionDistance = 3

// suggestion returns a text that names the known field nearest to an unknown one, or
// "" if none is near enough.
func suggestion(name string, fields map[string]reflect.Value) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, known := range slices.Sorted(maps.Keys(fields)) {
		if d := editDistance(name, known); d < bestDistance {
			best, bestDistance = known, d
		}
	}
	if best == "" || bestDistance >= len(best) {
		return ""
	}
	return ", did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
