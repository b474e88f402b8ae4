package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is the bound maintenanceS of the example deployment.
const upkeepTime = 2 * time.Second

// Cloud lists the machines and takes them down for upkeep.
type Cloud struct {
	address string
	record  *Record
	pool    *Pool

	mutex    sync.Mutex
	tokens   map[string]uint64 // the highest fencing token that each machine has seen
	down     map[string]bool
	done     map[string]bool
	maxCount int
	// late returns how much later a call is carried out without an answer, 0 for at once.
	late func(holder, machine string) time.Duration
}

// NewCloud starts the stand-in of the cloud on a free loopback port.
func NewCloud(record *Record) (*Cloud, error) {
	cloud := &Cloud{record: record, tokens: make(map[string]uint64), down: make(map[string]bool), done: make(map[string]bool)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cloud.address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: cloud}).Serve(listener) }()
	return cloud, nil
}

func machineName(index int) string { return fmt.Sprintf("m-%d", index) }

// ServeHTTP implements http.Handler.
func (cloud *Cloud) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	switch request.URL.Path {
	case "/api/machines":
		_ = json.NewEncoder(writer).Encode(map[string]any{"machines": cloud.list(), "nextPageToken": nil})
	case "/api/machine-upkeep":
		cloud.serveUpkeep(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (cloud *Cloud) list() []map[string]any {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	cloud.pool.mutex.Lock()
	defer cloud.pool.mutex.Unlock()
	machines := []map[string]any{}
	entry := func(index int, state, id string) {
		machines = append(machines, map[string]any{
			"machine": machineName(index), "pool": serviceName, "state": state, "zone": "gulf-a", "id": id,
			"labels": []string{"a", fmt.Sprintf("r1-%d", index/3)}, "capacity": map[string]int{"cpu": minionCPU, "memMb": minionMemory, "gpu": minionGPU},
		})
	}
	for _, minion := range cloud.pool.minions {
		entry(minion.index, "up", minion.Name)
	}
	for index := range len(cloud.pool.minions) + len(cloud.down) {
		if cloud.down[machineName(index)] {
			entry(index, "upkeep", "")
		}
	}
	return machines
}

func (cloud *Cloud) serveUpkeep(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := request.Header.Get("X-Corianderroad-Lease-Holder")
	token, _ := strconv.ParseUint(request.Header.Get("X-Corianderroad-Fencing-Token"), 10, 64)
	cloud.record.Sayf("%s with token %d calls for the upkeep of %s", holder, token, order.Machine)
	cloud.mutex.Lock()
	late := cloud.late
	cloud.mutex.Unlock()
	if late != nil {
		if delay := late(holder, order.Machine); delay > 0 {
			time.AfterFunc(delay, func() {
				status, reason := cloud.upkeep(order.Machine, token)
				cloud.record.Sayf("the late call of %s for %s is carried out: %d %s", holder, order.Machine, status, reason)
			})
			<-request.Context().Done()
			return
		}
	}
	status, reason := cloud.upkeep(order.Machine, token)
	cloud.record.Logf("upkeep of %s: %d %s", order.Machine, status, reason)
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(map[string]string{"reason": reason})
}

// upkeep takes a machine down, and brings it back with a new minion.
func (cloud *Cloud) upkeep(machine string, token uint64) (int, string) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	switch {
	case token < cloud.tokens[machine]:
		return http.StatusConflict, "fence"
	case cloud.done[machine]:
		return http.StatusOK, ""
	case cloud.down[machine]:
		return http.StatusOK, ""
	}
	cloud.tokens[machine] = token
	cloud.pool.mutex.Lock()
	defer cloud.pool.mutex.Unlock()
	for _, minion := range cloud.pool.minions {
		if machineName(minion.index) != machine {
			continue
		}
		if len(cloud.down) >= cloud.maxCount {
			cloud.record.Violatef("LIMIT: the upkeep of %s (token %d) begins while %d machine of its wave is down for its own: %v; maxCount is %d",
				machine, token, len(cloud.down), cloud.down, cloud.maxCount)
		}
		cloud.record.Sayf("the upkeep of %s begins (token %d); %d runs end", machine, token, len(minion.runs))
		cloud.down[machine] = true
		minion.crash()
		time.AfterFunc(upkeepTime, func() { cloud.bringBack(minion) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

func (cloud *Cloud) bringBack(minion *Minion) {
	cloud.mutex.Lock()
	machine := machineName(minion.index)
	delete(cloud.down, machine)
	cloud.done[machine] = true
	cloud.mutex.Unlock()
	if _, err := cloud.pool.newMinion(minion.index, minion.Name+"b"); err != nil {
		cloud.record.Sayf("no new minion: %v", err)
		return
	}
	cloud.record.Sayf("the upkeep of %s ends", machine)
}
