//go:build race

package sched

// runsPerShard is smaller under the race detector, which is some ten times
// slower here. The runs are the first of those made without it.
const runsPerShard = 25
