package hostileclients_test

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

// peaks are the largest values of what a process and the kernel hold for it.
type peaks struct {
	resident, openFiles int64
	// kernel is what waits in the queues of connections, and allocated what the kernel uses for it.
	kernel, allocated int64
	// failure is the first error of a measurement.
	failure error
}

// sampler records the peaks of a process. Only its goroutine uses them until it has ended.
type sampler struct {
	node        *node
	process     int
	requests    chan chan<- peaks // a request is answered after a further sample
	stop, ended chan struct{}
	peaks       peaks
}

func newSampler(node *node) *sampler {
	sampler := &sampler{
		node: node, process: node.command.Process.Pid, requests: make(chan chan<- peaks),
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
		var answer chan<- peaks
		select {
		case <-sampler.stop:
			return
		case <-ticker.C:
		case answer = <-sampler.requests:
		}
		sampler.sample()
		if answer != nil {
			answer <- sampler.peaks
		}
	}
}

// sample takes one sample. The peak of the resident memory is counted by the kernel.
func (sampler *sampler) sample() {
	peaks := &sampler.peaks
	peaks.resident = max(peaks.resident, peakMemory(sampler.process))
	peaks.kernel = max(peaks.kernel, sampler.node.kernelBytes())
	allocated, err := socketMemory(sampler.node.front, sampler.node.readiness, sampler.node.metrics)
	peaks.allocated = max(peaks.allocated, allocated)
	if peaks.failure == nil {
		peaks.failure = err
	}
	if files, err := os.ReadDir(descriptorsOf(sampler.process)); err == nil {
		peaks.openFiles = max(peaks.openFiles, int64(len(files)))
	}
}

// descriptorsOf returns the folder with an entry for each descriptor of a process.
func descriptorsOf(process int) string { return fmt.Sprintf("/proc/%d/fd", process) }

// awaitSample takes a further sample and returns the peaks.
func (sampler *sampler) awaitSample() peaks {
	answer := make(chan peaks, 1)
	sampler.requests <- answer
	return <-answer
}

// close ends the samples and returns the peaks.
func (sampler *sampler) close() peaks {
	close(sampler.stop)
	<-sampler.ended
	return sampler.peaks
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
		ports[fmt.Sprintf("0300007F:%04X", port)] = true
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

// checkLimits checks peaks of memory and descriptors against the limits in the settings.
func (node *node) checkLimits(peaks peaks) {
	figures := quicktest.Commentf("resident %d kB, held by the kernel %d kB, which uses %d kB for it, %d descriptors",
		peaks.resident>>10, peaks.kernel>>10, peaks.allocated>>10, peaks.openFiles)
	node.c.Logf("peaks: %s", figures)
	memory := int64(node.machine.memoryMB) << 20
	node.c.Check(peaks.resident > 0, quicktest.IsTrue)
	node.c.Check(peaks.resident+peaks.kernel <= memory, quicktest.IsTrue, figures)
	node.c.Check(peaks.failure, quicktest.IsNil)
	node.c.Check(peaks.resident+peaks.allocated <= memory, quicktest.IsTrue, figures)
	node.c.Check(peaks.openFiles <= int64(node.machine.descriptors), quicktest.IsTrue, figures)
}
