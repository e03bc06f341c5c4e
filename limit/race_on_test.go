//go:build race

package limit

const propertyRuns = "60"

const raceEnabled = true
