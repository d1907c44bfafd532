package cranmetric

import "github.com/prometheus/client_golang/prometheus"

// other is the label value under which all values outside a closed set are counted.
const other = "other"

// closedCounters holds a counter for each of a closed set of label values.
type closedCounters[K ~string] struct {
	byValue map[K]prometheus.Counter
	// others counts all values outside the set.
	others prometheus.Counter
}

func newClosedCounters[K ~string](vec *prometheus.CounterVec, values []K) closedCounters[K] {
	c := closedCounters[K]{byValue: make(map[K]prometheus.Counter, len(values)), others: vec.WithLabelValues(other)}
	for _, v := range values {
		c.byValue[v] = vec.WithLabelValues(string(v))
	}
	return c
}

func (c closedCounters[K]) add(value K, n float64) {
	if counter, ok := c.byValue[value]; ok {
		counter.Add(n)
		return
	}
	c.others.Add(n)
}

// closedGauges holds a gauge for each of a closed set of label values.
type closedGauges[K ~string] struct {
	byValue map[K]prometheus.Gauge
	// others is set by all values outside the set.
	others prometheus.Gauge
}

func newClosedGauges[K ~string](vec *prometheus.GaugeVec, values []K) closedGauges[K] {
	g := closedGauges[K]{byValue: make(map[K]prometheus.Gauge, len(values)), others: vec.WithLabelValues(other)}
	for _, v := range values {
		g.byValue[v] = vec.WithLabelValues(string(v))
	}
	return g
}

func (g closedGauges[K]) set(value K, n float64) {
	if gauge, ok := g.byValue[value]; ok {
		gauge.Set(n)
		return
	}
	g.others.Set(n)
}
