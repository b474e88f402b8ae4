package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	waveMachines = 6
	// upkeepLateBy is within 2 to 12 s, the time after which a call without an answer may
	// be carried out.
	upkeepLateBy = 7500 * time.Millisecond
	// shortWork ends a few seconds after the hand-over, longWork long after it.
	shortWork = 7500 * time.Millisecond
	longWork  = 30 * time.Second
)

// playLateUpkeep stops the holder gracefully after one of its calls for upkeep got no
// answer. The call is carried out later.
func playLateUpkeep(root string, record *Record, trouble bool) error {
	route := &Route{Name: "season-draw", Prefix: "/draws/", Priority: 1, Attempts: 4}
	scene, err := NewScene(root, record, trouble, waveMachines, route)
	defer scene.Close()
	if err != nil {
		return err
	}
	scene.cloud.maxCount = 1
	full := func(work time.Duration, count int) {
		scene.Submit(route, &Step{Count: count, CPU: 16000, GPU: 8, MemMB: 100, Work: work})
	}
	full(shortWork, waveMachines-1) // one machine stays idle: the wave begins with it
	time.Sleep(500 * time.Millisecond)
	isFirst := true
	scene.cloud.late = func(holder, machine string) time.Duration {
		if !isFirst {
			return 0
		}
		isFirst = false
		go scene.stop(holder)
		if !trouble {
			return 0
		}
		record.Sayf("the call for %s gets no answer and is carried out %s later", machine, upkeepLateBy)
		return upkeepLateBy
	}
	var machines []string
	for index := range waveMachines {
		machines = append(machines, fmt.Sprintf("%q", machineName(index)))
	}
	scene.store.Write("keyed.op", "wave/1", fmt.Sprintf(`{"wave":1,"machines":[%s],"durationS":60,"maxCount":1}`, strings.Join(machines, ",")))
	record.Sayf("the operator asks for a wave of %d machines, maxCount 1", waveMachines)
	time.Sleep(1500 * time.Millisecond)
	full(longWork, 1) // runs on the idle machine
	time.Sleep(40 * time.Second)
	return nil
}

// stop sends SIGTERM to the node with the given name, which is then not called any more.
func (scene *Scene) stop(name string) {
	scene.mutex.Lock()
	defer scene.mutex.Unlock()
	for index, node := range scene.nodes {
		if node.name != name {
			continue
		}
		scene.record.Sayf("%s gets SIGTERM", name)
		_ = node.command.Process.Signal(syscall.SIGTERM)
		scene.stopped = append(scene.stopped, node)
		scene.nodes = append(scene.nodes[:index:index], scene.nodes[index+1:]...)
		return
	}
}
