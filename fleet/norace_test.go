//go:build !race

package fleet

// checksPerPart is the number of plans of one part.
const checksPerPart = "250"

// largestFleet bounds the fleets whose cost is measured.
const largestFleet = 390
