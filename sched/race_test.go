//go:build race

package sched

// runsPerShard is smaller under the race detector, which makes these tests about ten times
// slower. The simulations are the first ones of those run without it.
const runsPerShard = 25
