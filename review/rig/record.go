//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with the seconds since the start.
type record struct {
	mutex   sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	counts  map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now(), counts: map[string]int{}}, nil
}

// line writes a line that begins with its kind, such as sent, answered, run or fault.
func (r *record) line(kind, format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[kind]++
	_, _ = fmt.Fprintf(r.out, "%8.3f %-9s %s\n", time.Since(r.started).Seconds(), kind, fmt.Sprintf(format, values...))
}

func (r *record) close() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
