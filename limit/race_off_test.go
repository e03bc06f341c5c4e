//go:build !race

package limit

// propertyRuns is how many seeds each property is tried with.
const propertyRuns = "700"

// raceEnabled says that the race detector slows the tests down.
const raceEnabled = false
