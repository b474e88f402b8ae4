package intruder_test

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/frankban/quicktest"
)

// sampleInterval is the time between two samples of what the kernel holds.
const sampleInterval = 50 * time.Millisecond

// sampler records the largest values of what a process and the kernel hold for it. Only its
// goroutine writes them until run returns.
type sampler struct {
	node                        *node
	process                     int
	requests                    chan chan struct{} // a request is answered after a further sample
	stop, ended                 chan struct{}
	resident, kernel, openFiles int64
}

func newSampler(node *node) *sampler {
	sampler := &sampler{
		node: node, process: node.command.Process.Pid, requests: make(chan chan struct{}),
		stop: make(chan struct{}), ended: make(chan struct{}),
	}
	go sampler.run()
	return sampler
}

func (sampler *sampler) run() {
	defer close(sampler.ended)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		var answer chan struct{}
		select {
		case <-sampler.stop:
			return
		case <-ticker.C:
		case answer = <-sampler.requests:
		}
		sampler.sample()
		if answer != nil {
			close(answer)
		}
	}
}

// sample takes one sample. The peak of the resident memory is counted by the kernel.
func (sampler *sampler) sample() {
	sampler.resident = max(sampler.resident, peakMemory(sampler.process))
	sampler.kernel = max(sampler.kernel, sampler.node.kernelBytes())
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", sampler.process)); err == nil {
		sampler.openFiles = max(sampler.openFiles, int64(len(files)))
	}
}

// awaitSample returns after a further sample.
func (sampler *sampler) awaitSample() {
	answer := make(chan struct{})
	sampler.requests <- answer
	<-answer
}

func (sampler *sampler) close() {
	close(sampler.stop)
	<-sampler.ended
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// peakMemory returns the peak of the resident memory in bytes, 0 for a process that has ended.
func peakMemory(process int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	if err != nil {
		return 0
	}
	found := peakPattern.FindSubmatch(status)
	if found == nil {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(string(found[1]), 10, 64) // the pattern matches digits only
	return kilobytes << 10
}

const (
	listening = "0A" // state of a listener, whose queues count connections
	// Columns of /proc/net/tcp.
	localColumn, stateColumn, queueColumn, columns = 1, 3, 4, 5
)

// kernelBytes returns the bytes that the kernel holds for connections to the node's ports:
// received and not read, or written and not sent. Connections that wait to be accepted count.
func (node *node) kernelBytes() int64 {
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return 0
	}
	ports := map[string]bool{}
	for _, port := range []uint16{node.front.Port(), node.readiness.Port(), node.metrics.Port()} {
		ports[fmt.Sprintf("0100007F:%04X", port)] = true
	}
	bytes := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < columns || !ports[fields[localColumn]] || fields[stateColumn] == listening {
			continue
		}
		for queue := range strings.SplitSeq(fields[queueColumn], ":") {
			count, _ := strconv.ParseInt(queue, 16, 64) // the header has no port of the node
			bytes += count
		}
	}
	return bytes
}

// checkLimits checks the peaks of memory and descriptors against the limits in the settings.
func (node *node) checkLimits() {
	if node.command != nil {
		node.sampler.awaitSample()
	}
	sampler := node.sampler
	figures := quicktest.Commentf("resident %d kB, held by the kernel %d kB, %d descriptors", sampler.resident>>10, sampler.kernel>>10, sampler.openFiles)
	node.c.Logf("peaks: %s", figures)
	node.c.Check(sampler.resident > 0, quicktest.IsTrue)
	node.c.Check(sampler.resident+sampler.kernel <= int64(memoryMB)<<20, quicktest.IsTrue, figures)
	node.c.Check(sampler.openFiles <= int64(descriptors), quicktest.IsTrue, figures)
}
