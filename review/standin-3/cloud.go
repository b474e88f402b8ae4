package main

import "net/http"

// cloud is the platform's list of machines. No case has an upkeep.
type cloud struct {
	machines []*minion
}

func (cloud *cloud) add(minion *minion) { cloud.machines = append(cloud.machines, minion) }

// ServeHTTP implements http.Handler.
func (cloud *cloud) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/api/machines" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	type entry struct {
		Machine  string    `json:"machine"`
		Pool     string    `json:"pool"`
		State    string    `json:"state"`
		Zone     string    `json:"zone"`
		Labels   []string  `json:"labels"`
		Capacity resources `json:"capacity"`
		ID       string    `json:"id"`
	}
	entries := []entry{}
	for _, minion := range cloud.machines {
		entries = append(entries, entry{minion.machine, serviceName, "up", minion.zone, []string{"a", minion.rack}, minion.capacity, minion.id})
	}
	answer(writer, http.StatusOK, map[string]any{"machines": entries, "nextPageToken": nil})
}
