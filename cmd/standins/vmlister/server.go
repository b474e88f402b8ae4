package vmlister

import (
	"net/http"
	"time"

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
			host.Refuse(writer, http.StatusServiceUnavailable, err.Error())
			return
		}
		host.Answer(writer, http.StatusOK, body)
	})
	return mux
}
