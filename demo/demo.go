package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/go-hclog"
)

// changeBound is the time within which a change must be in force on every host.
const changeBound = 3 * time.Second

// run is one run of the demo.
type run struct {
	*cluster
	out     io.Writer
	failed  int
	started time.Time
	// bound is the time within which a change must be in force on every host.
	bound time.Duration
}

// Run starts a deployment, runs every step, prints the results of the checks to out,
// and reports whether every check held.
func Run(ctx context.Context, out io.Writer, log hclog.Logger) (bool, error) {
	c, err := start(ctx, log, configInterval)
	if err != nil {
		return false, err
	}
	defer c.stop()
	return runSteps(ctx, out, c, changeBound), nil
}

// runSteps runs every step against a deployment and reports whether every check held.
func runSteps(ctx context.Context, out io.Writer, c *cluster, bound time.Duration) bool {
	r := &run{cluster: c, out: out, started: time.Now(), bound: bound}
	r.printLine("up: %d hosts in %d zones, %d engines, 1 plain service, %d organisations", len(c.hosts), len(zones), len(c.engines), len(organisations))
	for _, step := range []func(context.Context){
		r.checkAdapters, r.checkForeignAdapter, r.callService, r.updateDefaultVersion, r.withdrawKey, r.drainHost, r.checkNoKeyLeaks,
	} {
		step(ctx)
	}
	if r.failed > 0 {
		r.printLine("%d checks failed", r.failed)
		return false
	}
	r.printLine("every check held")
	return true
}

func (r *run) printLine(format string, args ...any) {
	at := time.Since(r.started).Seconds()
	_, _ = fmt.Fprintf(r.out, "%6.2fs  %s\n", at, fmt.Sprintf(format, args...))
}

// check prints the result of a check and counts a failure.
func (r *run) check(ok bool, format string, args ...any) {
	result := "ok  "
	if !ok {
		result = "FAIL"
		r.failed++
	}
	r.printLine("%s  %s", result, fmt.Sprintf(format, args...))
}

func (r *run) anyHost() string { return r.hosts[0].daemon.CallerURL() }

// locateHost asks a host which host to use and returns the address of the first choice.
func (r *run) locateHost(ctx context.Context, c *caller, model, zone string) (string, error) {
	answer, err := c.locate(ctx, r.anyHost(), model, zone)
	if err != nil {
		return "", err
	}
	if len(answer.Hosts) == 0 {
		return "", fmt.Errorf("locate returned no host for %s", model)
	}
	return answer.Hosts[0].URL, nil
}

// locateAndChat locates a host and sends a chat completion request to it.
func (r *run) locateAndChat(ctx context.Context, c *caller, model string, stream bool) (reply, error) {
	base, err := r.locateHost(ctx, c, model, zones[0])
	if err != nil {
		return reply{}, err
	}
	return c.chat(ctx, base, model, stream)
}
