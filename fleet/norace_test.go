//go:build !race

package fleet

// checksPerGroup is the number of plans of one part.
const checksPerGroup = "250"

// maxMeasuredHosts bounds the fleets whose cost is measured.
const maxMeasuredHosts = 390
