// Package exporter maintains the counters of a node with client_golang and serves
// them together with the gauges of the state machines and rings.
package exporter

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"corianderroad/classifier"
	"corianderroad/identifier"
	"corianderroad/messenger"
	"corianderroad/querier"
)

// Ring is a ring whose depth and refusals are exported.
type Ring interface {
	Name() string
	Depth() int
	Refused() uint64
}

// Gauges returns the gauges of the state machines.
type Gauges interface {
	Inspect(ctx context.Context, query querier.Query) (querier.Answer, error)
}

// Exporter holds the metrics of one node. It is safe for concurrent use.
type Exporter struct {
	registry    *prometheus.Registry
	refusals    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	transitions *prometheus.CounterVec
	crashes     *prometheus.CounterVec
	stops       stopCounters
	bytes       *prometheus.CounterVec
	io          *prometheus.CounterVec
	storeBytes  *prometheus.CounterVec
	shed        *prometheus.CounterVec
	early       *prometheus.CounterVec
	answers     *prometheus.HistogramVec
}

// Buckets of answer times, from 2 ms to about 8 s.
const (
	minAnswerTime = 0.002 // seconds
	answerBuckets = 13
)

// New returns an Exporter that also exports the given rings and gauges.
func New(rings []Ring, gauges Gauges) *Exporter {
	exporter := &Exporter{
		registry:    prometheus.NewRegistry(),
		refusals:    counter("refusals_total", "Refused requests by the reason's name.", "reason"),
		retries:     counter("retries_total", "Repeated attempts by the reason's name.", "reason"),
		transitions: counter("transitions_total", "Changes of state by their reason.", "reason"),
		crashes:     counter("crashes_total", "Deaths of minions and the conclusions from them, by their reason.", "reason"),
		stops:       newStopCounters(),
		bytes:       counter("peer_bytes_total", "Bytes of frames by peer, its region and direction.", "peer", "region", "direction"),
		io:          counter("io_events_total", "Events of I/O duties by kind and result.", "kind", "result"),
		storeBytes:  counter("store_bytes_total", "Bytes of the store's answers by topic and result.", "topic", "result"),
		shed:        counter("clients_shed_total", "Clients that were turned away, by listener and reason.", "listener", "reason"),
		early:       counter("early_refusals_total", "Submissions that were refused because of the expected wait, by queue.", "queue"),
	}
	exporter.answers = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "answer_seconds", Help: "Time to answer a request, by its kind and result.",
		Buckets: prometheus.ExponentialBuckets(minAnswerTime, 2, answerBuckets),
	}, []string{"kind", "result"})
	exporter.registry.MustRegister(exporter.stops.collectors()...)
	exporter.registry.MustRegister(exporter.answers, exporter.refusals, exporter.retries, exporter.transitions, exporter.crashes, exporter.bytes, exporter.io, exporter.storeBytes, exporter.shed, exporter.early,
		newRingCollector(rings), newGaugeCollector(gauges),
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return exporter
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// maxScrapes limits the scrapes at the same time, each of which needs some hundred KB.
const maxScrapes = 4

// Handler returns the handler of /metrics.
func (exporter *Exporter) Handler() http.Handler {
	return promhttp.HandlerFor(exporter.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// CountRefusal counts a refusal at this node's client listener.
func (exporter *Exporter) CountRefusal(code classifier.Code) {
	exporter.refusals.WithLabelValues(code.Name()).Inc()
}

// Count performs the Count action of a state machine.
func (exporter *Exporter) Count(count messenger.Count) {
	switch count.Counter {
	case messenger.Refusals:
		exporter.refusals.WithLabelValues(count.Reason).Inc()
	case messenger.Retries:
		exporter.retries.WithLabelValues(count.Reason).Inc()
	case messenger.Crashes:
		exporter.crashes.WithLabelValues(count.Reason).Inc()
	case messenger.StoppedRuns:
		exporter.stops.runs.WithLabelValues(count.Reason).Inc()
	case messenger.RepeatedStops:
		exporter.stops.repeated.Inc()
	case messenger.BrokenGangs:
		exporter.stops.brokenGangs.WithLabelValues(count.Reason).Inc()
	case messenger.Moves:
		exporter.stops.moves.WithLabelValues(count.Reason).Inc()
	case messenger.Copies:
		exporter.stops.copies.WithLabelValues(count.Reason).Inc()
	case messenger.EarlyRefusals:
		exporter.early.WithLabelValues(count.Reason).Inc()
	default:
		exporter.transitions.WithLabelValues(count.Reason).Inc()
	}
}

// CountLoss counts work that was lost.
func (exporter *Exporter) CountLoss(lost messenger.WorkLost) {
	exporter.stops.lost.WithLabelValues(lost.Rule).Add(lost.CoreSeconds)
}

// CountBytes counts bytes of frames exchanged with a peer.
func (exporter *Exporter) CountBytes(peer identifier.Node, region identifier.Region, direction string, bytes int) {
	exporter.bytes.WithLabelValues(string(peer), string(region), direction).Add(float64(bytes))
}

// CountIO counts an event of an I/O duty, for example the end of a connection,
// by its result in kebab case.
func (exporter *Exporter) CountIO(kind, result string) {
	exporter.io.WithLabelValues(kind, result).Inc()
}

// CountShed counts a client that was turned away at a listener, by the reason's name.
func (exporter *Exporter) CountShed(listener, reason string) {
	exporter.shed.WithLabelValues(listener, reason).Inc()
}

// CountStoreBytes counts the bytes of an answer of the store. Those of an
// incomplete answer were received in vain.
func (exporter *Exporter) CountStoreBytes(topic identifier.Topic, complete bool, bytes int) {
	result := "complete"
	if !complete {
		result = "incomplete"
	}
	exporter.storeBytes.WithLabelValues(string(topic), result).Add(float64(bytes))
}

// ObserveAnswer records an answer of the client listener by the kind and the
// result of its request, together with the time that it took.
func (exporter *Exporter) ObserveAnswer(kind string, code classifier.Code, elapsed time.Duration) {
	exporter.answers.WithLabelValues(kind, code.Name()).Observe(elapsed.Seconds())
}
