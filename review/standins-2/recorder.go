//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and holds the runs of all minions.
type recorder struct {
	mutex  sync.Mutex
	file   *os.File
	output *bufio.Writer
	begun  time.Time
	runs   []*taskRun
	orders int
}

// taskRun is one run of a task, as its minion sees it.
type taskRun struct {
	task   string
	number uint64
	minion string
	life   int
	labels []string
	begun  time.Time
	// ended is zero while the run goes on. how is why it has ended.
	ended time.Time
	how   string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, output: bufio.NewWriter(file), begun: time.Now()}, nil
}

func (recorder *recorder) log(format string, arguments ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.write(format, arguments...)
}

func (recorder *recorder) write(format string, arguments ...any) {
	_, _ = fmt.Fprintf(recorder.output, "%8.3f s  %s\n", time.Since(recorder.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

func (recorder *recorder) begin(task string, number uint64, minion string, life int, labels []string) *taskRun {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	run := &taskRun{task: task, number: number, minion: minion, life: life, labels: labels, begun: time.Now()}
	recorder.runs = append(recorder.runs, run)
	recorder.write("minion %s: life %d starts %s run %d", minion, life, task, number)
	return run
}

func (recorder *recorder) end(run *taskRun, how string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	run.ended, run.how = time.Now(), how
	recorder.write("minion %s: life %d ends %s run %d: %s", run.minion, run.life, run.task, run.number, how)
}

func (recorder *recorder) addOrder() {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.orders++
}

// countOrders returns how many orders have arrived at minions.
func (recorder *recorder) countOrders() int {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	return recorder.orders
}

// runsOf returns copies of the runs of a job's tasks, in the order of their starts.
func (recorder *recorder) runsOf(job string) []taskRun {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	var runs []taskRun
	for _, run := range recorder.runs {
		if len(run.task) > len(job) && run.task[:len(job)+1] == job+"." {
			runs = append(runs, *run)
		}
	}
	return runs
}

func (recorder *recorder) close() error {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	if err := recorder.output.Flush(); err != nil {
		return err
	}
	return recorder.file.Close()
}

// seconds returns a time as it stands in the record.
func (recorder *recorder) seconds(at time.Time) float64 { return at.Sub(recorder.begun).Seconds() }
