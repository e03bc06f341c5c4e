//go:build !race

package sched

// runsPerShard is how many seeded simulations each parallel test runs.
const runsPerShard = 125
