package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// maintenanceTime is how long an upkeep takes.
const maintenanceTime = 2 * time.Second

// cloud is the platform's list of machines and its upkeep.
type cloud struct {
	pool     *pool
	log      *journal
	mutex    sync.Mutex
	machines []*machine
	waves    map[int]wave
	// delays are the times after which the next upkeep calls are carried out, without an answer.
	delays []time.Duration
	// onCall is called at each upkeep call that gets no answer.
	onCall func()
	// violations are the upkeeps that began while as many as allowed were under way.
	violations []string
}

type machine struct {
	name     string
	minion   *minion
	state    string
	token    uint64
	lastWave int
}

// wave is the operator's request for upkeep.
type wave struct {
	Wave      int      `json:"wave"`
	Machines  []string `json:"machines"`
	DurationS int      `json:"durationS"`
	MaxCount  int      `json:"maxCount"`
}

func newCloud(pool *pool, log *journal) *cloud {
	return &cloud{pool: pool, log: log, waves: make(map[int]wave)}
}

func (cloud *cloud) add(minion *minion) {
	cloud.machines = append(cloud.machines, &machine{name: minion.machine, minion: minion, state: "up"})
}

// request lets the operator request a wave.
func (cloud *cloud) request(wave wave) {
	cloud.mutex.Lock()
	cloud.waves[wave.Wave] = wave
	cloud.mutex.Unlock()
	cloud.pool.store.write("keyed.op", "wave/"+strconv.Itoa(wave.Wave), wave)
	cloud.log.add("operator requests wave %d of %v, at most %d at once", wave.Wave, wave.Machines, wave.MaxCount)
}

// ServeHTTP implements http.Handler.
func (cloud *cloud) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	switch request.URL.Path {
	case "/api/machines":
		cloud.list(writer)
	case "/api/machine-upkeep":
		cloud.handleUpkeep(writer, request, body)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func (cloud *cloud) list(writer http.ResponseWriter) {
	type entry struct {
		Machine  string    `json:"machine"`
		Pool     string    `json:"pool"`
		State    string    `json:"state"`
		Zone     string    `json:"zone"`
		Labels   []string  `json:"labels"`
		Capacity resources `json:"capacity"`
		ID       string    `json:"id"`
	}
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	var entries []entry
	for _, machine := range cloud.machines {
		minion := machine.minion
		entries = append(entries, entry{machine.name, serviceName, machine.state, minion.zone, []string{"a", minion.rack}, minion.capacity, minion.id})
	}
	answer(writer, http.StatusOK, map[string]any{"machines": entries, "nextPageToken": nil})
}

type upkeep struct {
	Machine string `json:"machine"`
	Wave    int    `json:"wave"`
	token   uint64
	holder  string
}

func (cloud *cloud) handleUpkeep(writer http.ResponseWriter, request *http.Request, body []byte) {
	var call upkeep
	token, err := strconv.ParseUint(request.Header.Get("X-Corianderroad-Fencing-Token"), 10, 64)
	if json.Unmarshal(body, &call) != nil || err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	call.token, call.holder = token, request.Header.Get("X-Corianderroad-Lease-Holder")
	cloud.log.add("%s calls for the upkeep of %s in wave %d with token %d", call.holder, call.Machine, call.Wave, call.token)
	cloud.mutex.Lock()
	if len(cloud.delays) > 0 {
		delay := cloud.delays[0]
		cloud.delays = cloud.delays[1:]
		onCall := cloud.onCall
		cloud.mutex.Unlock()
		time.AfterFunc(delay, func() {
			status, reason := cloud.begin(call)
			cloud.log.add("the call of %s with token %d is carried out %s late: %d %s", call.holder, call.token, delay, status, reason)
		})
		if onCall != nil {
			onCall()
		}
		<-request.Context().Done() // no answer
		return
	}
	cloud.mutex.Unlock()
	status, reason := cloud.begin(call)
	cloud.log.add("answer to %s for %s: %d %s", call.holder, call.Machine, status, reason)
	answer(writer, status, map[string]string{"reason": reason})
}

// begin begins the upkeep of a machine, or says why not.
func (cloud *cloud) begin(call upkeep) (int, string) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	wave, isWave := cloud.waves[call.Wave]
	index := slices.IndexFunc(cloud.machines, func(machine *machine) bool { return machine.name == call.Machine })
	if index < 0 {
		return http.StatusBadRequest, ""
	}
	known := cloud.machines[index]
	switch {
	case call.token < known.token:
		return http.StatusConflict, "fence"
	case !isWave || !slices.Contains(wave.Machines, known.name):
		return http.StatusConflict, "wave"
	}
	known.token = call.token
	switch {
	case known.lastWave == call.Wave:
		return http.StatusOK, "" // it is done
	case known.state != "up":
		return http.StatusConflict, "busy"
	}
	var down []string
	for _, other := range cloud.machines {
		if other.state == "upkeep" && other.lastWave == call.Wave {
			down = append(down, other.name)
		}
	}
	cloud.log.add("upkeep of %s begins in wave %d; down for theirs: %v", known.name, call.Wave, down)
	if len(down) >= wave.MaxCount {
		cloud.violations = append(cloud.violations, known.name)
		cloud.log.add("BROKEN: LIMIT: the upkeep of %s begins while %v are down for theirs, and at most %d may be", known.name, down, wave.MaxCount)
	}
	known.state, known.lastWave = "upkeep", call.Wave
	former := known.minion
	go former.crash("its machine has its upkeep")
	time.AfterFunc(maintenanceTime, func() {
		next, err := cloud.pool.launch(former.machine, former.zone, former.rack, former.address, former.capacity)
		if err != nil {
			cloud.log.add("machine %s does not come back: %v", former.machine, err)
			return
		}
		cloud.mutex.Lock()
		defer cloud.mutex.Unlock()
		known.state, known.minion = "up", next
	})
	return http.StatusOK, ""
}

// upkeeps returns how many machines of a wave have begun their upkeep.
func (cloud *cloud) upkeeps(wave int) int {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	count := 0
	for _, machine := range cloud.machines {
		if machine.lastWave == wave {
			count++
		}
	}
	return count
}

// broken returns the upkeeps that broke the limit.
func (cloud *cloud) broken() []string {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	return slices.Clone(cloud.violations)
}
