//go:build review

// Command driver-2 plays the cases of the second review as scripts: it starts the entry processes and holds the stand-ins of the
// platform, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitNotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := play(rec, dir, os.Getenv("TROUBLE") != "0")
	rec.say("exit %d", code)
	rec.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

var cases = map[string]func(rec *recorder, dir string, trouble bool) int{
	"handover": playHandover,
	"hot":      playHotTenant,
	"freeze":   playFreeze,
	"grey":     playGrey,
}
