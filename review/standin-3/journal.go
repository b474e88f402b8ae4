package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal is the record of a case: what was sent, answered and run.
type journal struct {
	mutex sync.Mutex
	file  *os.File
	begun time.Time
}

func newJournal(path string) (*journal, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{file: file, begun: time.Now()}, nil
}

// add adds a line with the time since the start.
func (journal *journal) add(format string, arguments ...any) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	_, _ = fmt.Fprintf(journal.file, "%9.3f  %s\n", time.Since(journal.begun).Seconds(), fmt.Sprintf(format, arguments...)) // a record that is cut shows it
}
