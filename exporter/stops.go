package exporter

import "github.com/prometheus/client_golang/prometheus"

// stopCounters count stopped runs and the work that is lost with runs.
type stopCounters struct {
	runs        *prometheus.CounterVec
	repeated    prometheus.Counter
	brokenGangs *prometheus.CounterVec
	lost        *prometheus.CounterVec
	moves       *prometheus.CounterVec
	copies      *prometheus.CounterVec
}

func newStopCounters() stopCounters {
	return stopCounters{
		runs: counter("stopped_runs_total", "Runs that were ordered to stop, by the rule.", "rule"),
		repeated: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "repeated_stops_total", Help: "Stopped runs of tasks that had been stopped before.",
		}),
		brokenGangs: counter("broken_gangs_total", "Gangs that ended as a whole, by the cause.", "cause"),
		lost: counter("lost_core_seconds_total", "Work since the last checkpoint of runs that ended early, by the rule or the kind of end. An accelerator counts as 8 cores.",
			"rule"),
		moves:  counter("moved_runs_total", "Runs moved because they made no progress, and the ends of their tasks, by outcome.", "outcome"),
		copies: counter("copied_tasks_total", "Copies of tasks that lagged behind, and their ends, by outcome.", "outcome"),
	}
}

func (stopCounters *stopCounters) collectors() []prometheus.Collector {
	return []prometheus.Collector{stopCounters.runs, stopCounters.repeated, stopCounters.brokenGangs, stopCounters.lost, stopCounters.moves, stopCounters.copies}
}
