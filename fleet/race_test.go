//go:build race

package fleet

// checksPerGroup is the number of plans of one part. The race detector makes
// each several times slower; it looks for races, not for rare plans.
const checksPerGroup = "30"

// maxMeasuredHosts bounds the fleets whose cost is measured.
const maxMeasuredHosts = 30
