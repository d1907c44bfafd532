package cranpredict

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// shapeUnit is the weight of a step in a histogram, which counts in whole numbers.
	shapeUnit = 9600
	// shapePrior is the weight of the normal distribution, in steps.
	shapePrior = 60
	// shapeSteps is the number of steps after which the older histogram is dropped.
	shapeSteps = 1000
	// shapeInterval is the number of runs after which the quantiles are computed again.
	shapeInterval = 64
	// shapeScale and maxDeviation are the resolution and the range of the histograms, which hold the exponentials
	// of deviations.
	shapeScale   = 1000
	maxDeviation = 4
	// censoredParts is the number of values for a run that was stopped.
	censoredParts = 4
)

// shapeQuantiles are the probabilities at which the shape is known.
var shapeQuantiles = [...]float64{0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99}

// normals are the quantiles of the standard normal distribution.
var normals = func() (z [len(shapeQuantiles)]float64) {
	for i, p := range shapeQuantiles {
		z[i] = normalQuantile(p)
	}
	return z
}()

// shape holds the quantiles of the deviations of durations from what was predicted for them, in standard
// deviations. It corrects quantiles if durations aren't log-normal or the predicted spread is wrong.
type shape struct {
	older, younger, merged *hdrhistogram.Histogram
	runs                   int
	deviations             [len(shapeQuantiles)]float64
}

func (s *shape) init() {
	s.older, s.younger, s.merged = newHistogram(), newHistogram(), newHistogram()
	s.deviations = normals
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(shapeScale*math.Exp(maxDeviation))+1, 2)
}

// add adds the deviation of one of the tasks of a step.
func (s *shape) add(deviation float64, tasks int) {
	s.record(deviation, tasks)
	s.update()
}

// addCensored adds a deviation of which only a lower limit is known, as a few values of the normal distribution above
// it. Without these the quantiles would be those of the runs that were not stopped.
func (s *shape) addCensored(limit float64, tasks int) {
	tail := upperTail(limit)
	for i := range censoredParts {
		s.record(-normalQuantile(tail*(float64(i)+0.5)/censoredParts), tasks*censoredParts)
	}
	s.update()
}

func (s *shape) record(deviation float64, tasks int) {
	deviation = min(max(deviation, -maxDeviation), maxDeviation)
	// No value within these bounds is refused.
	_ = s.younger.RecordValues(int64(shapeScale*math.Exp(deviation)), max(int64(shapeUnit/tasks), 1))
}

// update computes the quantiles again after some runs.
func (s *shape) update() {
	s.runs++
	if s.runs%shapeInterval != 0 {
		return
	}
	s.merged.Reset()
	s.merged.Merge(s.older)
	s.merged.Merge(s.younger)
	steps := float64(s.merged.TotalCount()) / shapeUnit
	for i, p := range shapeQuantiles {
		measured := math.Log(float64(s.merged.ValueAtQuantile(100*p)) / shapeScale)
		s.deviations[i] = (steps*measured + shapePrior*normals[i]) / (steps + shapePrior)
	}
	if s.younger.TotalCount() >= shapeSteps*shapeUnit {
		s.older, s.younger = s.younger, s.older
		s.younger.Reset()
	}
}

// quantile returns the deviation that is not exceeded with probability p. Between the known quantiles it
// interpolates the difference from the normal distribution.
func (s *shape) quantile(p float64) float64 {
	z := normalQuantile(p)
	last := len(normals) - 1
	switch {
	case z <= normals[0]:
		return z + s.deviations[0] - normals[0]
	case z >= normals[last]:
		return z + s.deviations[last] - normals[last]
	}
	i := 1
	for z > normals[i] {
		i++
	}
	share := (z - normals[i-1]) / (normals[i] - normals[i-1])
	return s.deviations[i-1] + share*(s.deviations[i]-s.deviations[i-1])
}
