package exporter

import (
	"context"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"corianderroad/querier"
)

const (
	namespace = "corianderroad"
	// scrapeTimeout bounds the wait for the gauges of the state machines. It is
	// below the scrape timeout of 10 s that collectors use by default.
	scrapeTimeout = 2 * time.Second
)

// ringCollector exports the depth and the refusals of each ring.
type ringCollector struct {
	rings   []Ring
	depth   *prometheus.Desc
	refused *prometheus.Desc
}

func newRingCollector(rings []Ring) *ringCollector {
	return &ringCollector{
		rings:   rings,
		depth:   prometheus.NewDesc(namespace+"_ring_depth", "Entries that wait in a ring.", []string{"ring"}, nil),
		refused: prometheus.NewDesc(namespace+"_ring_refused_total", "Entries that a full ring refused.", []string{"ring"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (collector *ringCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- collector.depth
	descriptions <- collector.refused
}

// Collect implements prometheus.Collector.
func (collector *ringCollector) Collect(metrics chan<- prometheus.Metric) {
	for _, ring := range collector.rings {
		metrics <- prometheus.MustNewConstMetric(collector.depth, prometheus.GaugeValue, float64(ring.Depth()), ring.Name())
		metrics <- prometheus.MustNewConstMetric(collector.refused, prometheus.CounterValue, float64(ring.Refused()), ring.Name())
	}
}

// gaugeCollector exports the gauges of the state machines. It is unchecked (it
// describes no metrics), because the state machines choose the gauges' names.
type gaugeCollector struct {
	gauges Gauges
}

func newGaugeCollector(gauges Gauges) *gaugeCollector { return &gaugeCollector{gauges} }

// Describe implements prometheus.Collector.
func (collector *gaugeCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. Gauges that do not arrive in time
// are omitted from the scrape.
func (collector *gaugeCollector) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), scrapeTimeout)
	defer cancel()
	answer, err := collector.gauges.Inspect(ctx, querier.Query{Kind: querier.Status})
	if err != nil {
		return
	}
	for _, gauge := range answer.Gauges {
		name := namespace + "_" + strings.ReplaceAll(gauge.Name, "-", "_")
		description := prometheus.NewDesc(name, "Gauge of a decision machine.", []string{"label"}, nil)
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, gauge.Value, gauge.Label)
	}
}
