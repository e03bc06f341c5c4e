//go:build race

package limit

const propertyRuns = "30"

const raceEnabled = true
