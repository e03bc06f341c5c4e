package bench

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// Options selects the runs. Deployment, Scenario and Policy are names separated by
// commas; an empty string selects all.
type Options struct {
	Deployment string
	Scenario   string
	Policy     string
	Seed       uint64
}

// runSpec describes one run.
type runSpec struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
}

// RunAll executes the selected runs, several at a time. The order and the figures
// of the results do not depend on how many run at a time. It returns an error if
// the options select no run.
func RunAll(o Options) ([]Result, error) {
	chosen := selectRuns(o)
	if len(chosen) == 0 {
		return nil, fmt.Errorf("bench: no deployment %q, scenario %q, policy %q", o.Deployment, o.Scenario, o.Policy)
	}
	results := make([]Result, len(chosen))
	semaphore := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	var group sync.WaitGroup
	for i, c := range chosen {
		group.Go(func() {
			semaphore <- struct{}{}
			results[i] = Run(c.deployment, c.scenario, c.policy, o.Seed)
			<-semaphore
		})
	}
	group.Wait()
	return results, nil
}

func selectRuns(o Options) []runSpec {
	matches := func(want, name string) bool { return want == "" || slices.Contains(strings.Split(want, ","), name) }
	var chosen []runSpec
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			for _, p := range Policies() {
				if matches(o.Deployment, d.Name) && matches(o.Scenario, s.Name) && matches(o.Policy, p.Name) {
					chosen = append(chosen, runSpec{d, s, p})
				}
			}
		}
	}
	return chosen
}
