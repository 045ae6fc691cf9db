package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// scenario runs a case. trouble is false for the run without the disruption.
type scenario struct {
	network byte // second byte of its addresses
	run     func(f *fleet, trouble bool) error
}

var scenarios = map[string]scenario{
	"zoneloss": {network: 113, run: zoneLoss},
	"twozones": {network: 115, run: twoZones},
	"twolinks": {network: 116, run: twoLinks},
	"question": {network: 111, run: question},
	"silent":   {network: 112, run: silentConnections},
}

// main runs a case: review3 NAME FOLDER, in the root of the repository. TROUBLE=0 leaves the
// disruption out.
func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func runCase(name, folder string, trouble bool) int {
	s, ok := scenarios[name]
	root, err := os.Getwd()
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "unknown case, or no working folder:", name, err)
		return exitNotRun
	}
	if err := choosePorts(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(root, r, s.network)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	done := make(chan error, 1)
	go func() { done <- s.run(f, trouble) }()
	select {
	case err = <-done:
	case <-time.After(limit):
		err = fmt.Errorf("the case took longer than %s", limit)
	}
	f.close()
	if err != nil {
		r.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if len(r.broken) == 0 {
		r.logf("the rule held")
	}
	return r.exitCode()
}
