package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	broken  []string
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// logf writes a line with the time since the start.
func (r *record) logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// breach records that the rule is broken.
func (r *record) breach(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.logf("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// exitCode returns 1 if the rule was broken and 0 if it held.
func (r *record) exitCode() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) > 0 {
		return exitBroken
	}
	return exitHeld
}
