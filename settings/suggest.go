package settings

import (
	"maps"
	"reflect"
	"slices"
)

// maxSuggestionDistance is the largest number of edits between an unknown
// field and the known one that is suggested for it.
const maxSuggestionDistance = 3

// suggestion names the known field that is nearest to an unknown one, or all
// fields where none is near.
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

// editDistance counts the letters to insert, delete or replace to make b of a.
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
