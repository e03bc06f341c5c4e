//go:build !race

package fleet

// checksPerPart is the number of plans of one part.
const checksPerPart = "250"
