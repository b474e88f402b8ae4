// Package injector applies faults to the stand-ins over HTTP.
package injector

import (
	"context"
	"net/http"
	"path"
	"time"

	"corianderroad/cmd/standins/executor"
	"corianderroad/cmd/standins/host"
	"corianderroad/cmd/standins/logserver"
	"corianderroad/cmd/standins/minion"
	"corianderroad/cmd/standins/vmlister"
	"corianderroad/cmd/standins/worker"
)

// Targets are the stand-ins to which faults can be applied.
type Targets struct {
	Log     *executor.Executor[*logserver.Log]
	List    *executor.Executor[*vmlister.List]
	Minions map[string]*executor.Executor[*minion.Minion]
	Workers map[string]*executor.Executor[*worker.Worker]
	// Listeners holds the listener of every stand-in by name. Those of the log
	// service and the VM list are named log and vm-list.
	Listeners map[string]*host.Listener
	// Names are the names of all VMs in the VM list.
	Names []string
}

// faultsRequest is the body of POST /faults. Each section that is present
// replaces the faults of its targets; a section with zero values removes them.
// Match is a name or a pattern with * as in path.Match.
type faultsRequest struct {
	Log *struct {
		Mode        logserver.Mode `json:"mode"`
		Delay       duration       `json:"delay"`
		LostAnswers float64        `json:"lost-answers"`
	} `json:"log"`
	VMList *struct {
		Frozen bool `json:"frozen"`
	} `json:"vm-list"`
	Minions *struct {
		Match       string      `json:"match"`
		Mode        minion.Mode `json:"mode"`
		Truncated   float64     `json:"truncated"`
		Crossed     float64     `json:"crossed"`
		LostAnswers float64     `json:"lost-answers"`
	} `json:"minions"`
	Workers *struct {
		Match string      `json:"match"`
		Mode  worker.Mode `json:"mode"`
	} `json:"workers"`
	// Listed changes the state that the VM list shows after its lag.
	Listed *struct {
		Match string `json:"match"`
		State string `json:"state"`
	} `json:"listed"`
	// Unresponsive makes the open connections of the targets permanently unresponsive.
	Unresponsive *struct {
		Match string `json:"match"`
	} `json:"silence"`
}

type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (duration *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*(*time.Duration)(duration) = parsed
	return err
}

// New returns the handler of POST /faults. The response holds the number of
// targets to which the faults were applied.
func New(targets Targets) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var requested faultsRequest
		if !host.Decode(writer, request, &requested) {
			return
		}
		if reason := requested.validate(); reason != "" {
			host.WriteError(writer, http.StatusBadRequest, reason)
			return
		}
		affected, err := targets.apply(request.Context(), requested)
		if err != nil {
			host.WriteError(writer, http.StatusServiceUnavailable, err.Error())
			return
		}
		host.WriteJSON(writer, http.StatusOK, struct {
			Targets int `json:"targets"`
		}{affected})
	})
}

func (targets Targets) apply(ctx context.Context, requested faultsRequest) (int, error) {
	affected := 0
	for _, apply := range []func(context.Context, faultsRequest) (int, error){
		targets.applyLog, targets.applyVMList, targets.applyMinions, targets.applyWorkers, targets.applyListedState, targets.applyUnresponsive,
	} {
		count, err := apply(ctx, requested)
		affected += count
		if err != nil {
			return affected, err
		}
	}
	return affected, nil
}

func (targets Targets) applyLog(ctx context.Context, requested faultsRequest) (int, error) {
	if requested.Log == nil {
		return 0, nil
	}
	return 1, targets.Log.Do(ctx, func(_ time.Time, log *logserver.Log) {
		log.Inject(logserver.Faults{
			Mode: requested.Log.Mode, Delay: time.Duration(requested.Log.Delay), LostAnswers: requested.Log.LostAnswers,
		})
	})
}

func (targets Targets) applyVMList(ctx context.Context, requested faultsRequest) (int, error) {
	if requested.VMList == nil {
		return 0, nil
	}
	return 1, targets.List.Do(ctx, func(now time.Time, list *vmlister.List) {
		list.VMs(now) // Applies the changes that are due before the list is frozen.
		list.SetFrozen(requested.VMList.Frozen)
	})
}

func (targets Targets) applyMinions(ctx context.Context, requested faultsRequest) (int, error) {
	if requested.Minions == nil {
		return 0, nil
	}
	injected := minion.Faults{
		Mode: requested.Minions.Mode, Truncated: requested.Minions.Truncated,
		Crossed: requested.Minions.Crossed, LostAnswers: requested.Minions.LostAnswers,
	}
	affected := 0
	for name, target := range targets.Minions {
		if !matches(requested.Minions.Match, name) {
			continue
		}
		if err := target.Do(ctx, func(_ time.Time, minion *minion.Minion) { minion.Inject(injected) }); err != nil {
			return affected, err
		}
		affected++
	}
	return affected, nil
}

func (targets Targets) applyWorkers(ctx context.Context, requested faultsRequest) (int, error) {
	if requested.Workers == nil {
		return 0, nil
	}
	affected := 0
	for name, target := range targets.Workers {
		if !matches(requested.Workers.Match, name) {
			continue
		}
		if err := target.Do(ctx, func(now time.Time, worker *worker.Worker) { worker.Inject(now, requested.Workers.Mode) }); err != nil {
			return affected, err
		}
		affected++
	}
	return affected, nil
}

func (targets Targets) applyListedState(ctx context.Context, requested faultsRequest) (int, error) {
	if requested.Listed == nil {
		return 0, nil
	}
	affected := 0
	err := targets.List.Do(ctx, func(now time.Time, list *vmlister.List) {
		for _, name := range targets.Names {
			if matches(requested.Listed.Match, name) && list.Change(now, name, requested.Listed.State) {
				affected++
			}
		}
	})
	return affected, err
}

func (targets Targets) applyUnresponsive(_ context.Context, requested faultsRequest) (int, error) {
	if requested.Unresponsive == nil {
		return 0, nil
	}
	affected := 0
	for name, listener := range targets.Listeners {
		if matches(requested.Unresponsive.Match, name) {
			listener.MakeUnresponsive()
			affected++
		}
	}
	return affected, nil
}

func matches(pattern, name string) bool {
	matched, err := path.Match(pattern, name)
	return err == nil && matched
}
