package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// trace is the record of a case: what was sent, answered and run.
type trace struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newTrace(path string) (*trace, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &trace{file: file, began: time.Now()}, nil
}

// now returns the time since the start of the case, in seconds.
func (t *trace) now() float64 { return time.Since(t.began).Seconds() }

func (t *trace) log(who, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.file, "%8.3f  %-10s %s\n", t.now(), who, fmt.Sprintf(format, args...))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
