package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	broken []string
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// add writes one line with the time since the start in seconds.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

// breaks adds a line that shows that the rule is broken.
func (r *record) breaks(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.add("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// since returns the time since the start.
func (r *record) since() time.Duration { return time.Since(r.start) }

// close ends the record and returns the number of breaks.
func (r *record) close() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "breaks: %d\n", len(r.broken))
	r.file.Close()
	return len(r.broken)
}
