package vmlister

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderroad/cmd/standins/executor"
	"corianderroad/cmd/standins/host"
)

// New returns a handler of the list that the executor owns.
func New(list *executor.Executor[*List]) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(writer http.ResponseWriter, request *http.Request) {
		var body struct {
			VMs []VM `json:"vms"`
		}
		err := list.Do(request.Context(), func(now time.Time, list *List) { body.VMs = list.VMs(now) })
		if err != nil {
			host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
			return
		}
		encoded, err := json.Marshal(body)
		if err != nil {
			host.WriteError(writer, http.StatusInternalServerError, err.Error())
			return
		}
		tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(encoded))
		writer.Header().Set("ETag", tag)
		if request.Header.Get("If-None-Match") == tag {
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(encoded)
	})
	return mux
}
