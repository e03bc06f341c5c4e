//go:build !race

package sched

// runsPerShard is how many seeded runs each parallel test makes.
const runsPerShard = 125
