// Package exporter serves the metrics of a registry over HTTP in the text format of
// Prometheus. It has no state: each request reads the registry anew.
package exporter

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const (
	metricPrefix  = "filberthaven_"
	metricsFormat = "text/plain; version=0.0.4; charset=utf-8"
)

// quantiles are the quantiles reported for histograms and timers.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Handler returns a handler that serves all metrics of the registry. Timers are in
// nanoseconds.
func Handler(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", metricsFormat)
		writeMetrics(w, registry)
	})
}

// writeMetrics writes all metrics, sorted by name.
func writeMetrics(w io.Writer, registry metrics.Registry) {
	var names []string
	registry.Each(func(name string, _ any) { names = append(names, name) })
	slices.Sort(names)
	for _, name := range names {
		writeMetric(w, metricName(name), registry.Get(name))
	}
}

// writeMetric writes one metric. It skips metrics of unknown types.
func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case metrics.Counter:
		writeSample(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		writeSample(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		writeSample(w, name, "gauge", m.Value())
	case metrics.Meter:
		writeSample(w, name+"_total", "counter", float64(m.Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count())
	}
}

func writeSample(w io.Writer, name, kind string, value float64) {
	fmt.Fprintf(w, "# TYPE %s %s\n%s %g\n", name, kind, name, value)
}

// writeSummary writes a summary. The values are those of quantiles, in the same order.
func writeSummary(w io.Writer, name string, values []float64, sum float64, count int64) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}

// metricName returns the name under which Prometheus sees a metric: with the prefix, and
// with underscores for dots, hyphens, slashes and spaces.
func metricName(name string) string {
	replaced := strings.Map(func(r rune) rune {
		if r == '.' || r == '-' || r == '/' || r == ' ' {
			return '_'
		}
		return r
	}, name)
	return metricPrefix + replaced
}
