package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// cases are the cases by name. Each returns what breaks its rule.
var cases = map[string]func(f *fleet, trouble bool) (broken []string, err error){
	"half-open": halfOpen,
	"thaw":      thaw,
	"cold":      coldAgain,
	"narrow":    narrow,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play plays a case and returns the exit code.
func play(name, program, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	f, err := newFleet(rec, program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var once sync.Once
	end := func() { once.Do(f.end) }
	defer end()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		end()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, trouble: %v", name, trouble)
	broken, err := cases[name](f, trouble)
	if err != nil {
		rec.log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range broken {
		rec.log("BROKEN: %s", line)
		fmt.Println(line)
	}
	rec.log("%d breaks of the rule", len(broken))
	fmt.Printf("%s: %d breaks of the rule\n", name, len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}

var errNothing = errors.New("the case did not come to its point")
