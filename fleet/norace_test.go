//go:build !race

package fleet

// checksPerGroup is the number of plans in one group.
const checksPerGroup = "250"

// maxMeasuredHosts bounds the size of the fleets whose cost is measured.
const maxMeasuredHosts = 390
