package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest bounds the time of a case; a case that takes longer has not run.
const longest = 110 * time.Second

// cases are the cases by name. trouble says whether the disruption happens.
var cases = map[string]func(r *record, trouble bool) error{
	"stale-death":     staleDeath,
	"malformed-entry": malformedEntry,
	"foreign-service": foreignService,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, disruption: %v", args[0], trouble)
	timer := time.AfterFunc(longest, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		os.Exit(exitNotRun) // the nodes end with this process
	})
	defer timer.Stop()
	if err := cases[args[0]](r, trouble); err != nil {
		r.add("the case could not run: %v", err)
		r.close()
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if breaks := r.close(); breaks > 0 {
		fmt.Printf("broken %d times\n", breaks)
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
