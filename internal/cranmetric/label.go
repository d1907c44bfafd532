package cranmetric

import "github.com/prometheus/client_golang/prometheus"

// other is the label value of everything outside a closed set.
const other = "other"

// closedCounters is one counter for each of a closed set of label values.
type closedCounters[K ~string] struct {
	each map[K]prometheus.Counter
	// rest counts the values outside the set.
	rest prometheus.Counter
}

func newClosedCounters[K ~string](vec *prometheus.CounterVec, values []K) closedCounters[K] {
	c := closedCounters[K]{each: make(map[K]prometheus.Counter, len(values)), rest: vec.WithLabelValues(other)}
	for _, v := range values {
		c.each[v] = vec.WithLabelValues(string(v))
	}
	return c
}

func (c closedCounters[K]) add(value K, n float64) {
	if counter, ok := c.each[value]; ok {
		counter.Add(n)
		return
	}
	c.rest.Add(n)
}

// closedGauges is one gauge for each of a closed set of label values.
type closedGauges[K ~string] struct {
	each map[K]prometheus.Gauge
	rest prometheus.Gauge
}

func newClosedGauges[K ~string](vec *prometheus.GaugeVec, values []K) closedGauges[K] {
	g := closedGauges[K]{each: make(map[K]prometheus.Gauge, len(values)), rest: vec.WithLabelValues(other)}
	for _, v := range values {
		g.each[v] = vec.WithLabelValues(string(v))
	}
	return g
}

func (g closedGauges[K]) set(value K, n float64) {
	if gauge, ok := g.each[value]; ok {
		gauge.Set(n)
		return
	}
	g.rest.Set(n)
}
