//go:build !race

package limit

// propertyRuns is the number of seeds with which each property is checked.
const propertyRuns = "700"

// raceEnabled reports whether the race detector, which slows the tests down, is
// on.
const raceEnabled = false
