//go:build race

package fleet

// checksPerPart is the number of plans of one part. The race detector makes
// each several times slower; it looks for races, not for rare plans.
const checksPerPart = "30"

// largestFleet bounds the fleets whose cost is measured.
const largestFleet = 30
