package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run, with the violations.
type Record struct {
	mutex      sync.Mutex
	file       *os.File
	startedAt  time.Time
	violations []string
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, startedAt: time.Now()}, nil
}

// Logf writes a line with the time since the start.
func (record *Record) Logf(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
}

// Sayf writes a line to the file and to the standard output.
func (record *Record) Sayf(format string, arguments ...any) {
	fmt.Printf("%8.3f %s\n", time.Since(record.startedAt).Seconds(), fmt.Sprintf(format, arguments...))
	record.Logf(format, arguments...)
}

// Violatef writes a line that says how a rule was broken.
func (record *Record) Violatef(format string, arguments ...any) {
	record.Sayf("BROKEN "+format, arguments...)
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.violations = append(record.violations, fmt.Sprintf(format, arguments...))
}

// Violations returns how often a rule was broken.
func (record *Record) Violations() int {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return len(record.violations)
}
