//go:build race

package fleet

// checksPerGroup is the number of plans in one group. The race detector makes each
// plan several times slower, and finding data races needs no rare plans.
const checksPerGroup = "30"

// maxMeasuredHosts bounds the size of the fleets whose cost is measured.
const maxMeasuredHosts = 30
