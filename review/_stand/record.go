package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file. It is safe for concurrent use.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(filepath.Clean(path)) //nolint:gosec // the caller of the program names the file
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

// add writes one line with the time since the start in seconds.
func (r *recorder) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.started).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", values...)
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
