package cransched

import (
	"math"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// slopePrior is the weight, in observations, of the belief that durations
	// are proportional to their estimates; slopeSpread is the variance of the
	// logarithm of estimates that one such observation stands for.
	slopePriorWeight   = 8
	slopePriorVariance = 0.25
	// levelPrior is the weight of the belief that estimates are right on average.
	offsetPriorWeight = 4
	// widthSpread is the spread of durations within a step, as a part of their
	// mean: the widest step ends with its longest task.
	durationSpread = 0.3
	// storeAfter is how many new observations of a queue are stored together
	// for the next owner.
	durationsPerRecord = 50
	// chainsEvery is how often the chains of work of a job are worked out anew.
	estimateInterval = 500 * time.Millisecond
)

// predictor learns how the durations of a queue's tasks depend on their
// estimates: a line between the logarithms. Estimates may be off by a factor
// of several, each by its own; the more so, the flatter the line.
type predictor struct {
	cranjob.Durations
	// stored is the number of observations that the stored record has.
	storedCount float64
}

// add takes in a task that has succeeded.
func (p *predictor) add(estimateMs, durationMs int64) {
	if estimateMs <= 0 || durationMs <= 0 {
		return
	}
	x, y := math.Log(float64(estimateMs)), math.Log(float64(durationMs))
	p.N++
	p.SumX += x
	p.SumY += y
	p.SumXX += x * x
	p.SumXY += x * y
}

// predict returns the expected duration of a task in milliseconds.
func (p *predictor) predict(estimateMs int64) float64 {
	if p == nil || p.N == 0 || estimateMs <= 0 {
		return float64(estimateMs)
	}
	x := math.Log(float64(estimateMs))
	meanX, meanY := p.SumX/p.N, p.SumY/p.N
	variance := max(p.SumXX-p.N*meanX*meanX, 0)
	covariance := p.SumXY - p.N*meanX*meanY
	slope := (covariance + slopePriorWeight*slopePriorVariance) / (variance + slopePriorWeight*slopePriorVariance)
	offset := (meanY - meanX) * p.N / (p.N + offsetPriorWeight)
	return math.Exp(meanX + offset + slope*(x-meanX))
}

// widest returns how much longer than the mean the longest of n tasks takes.
func longestTaskFactor(n int) float64 {
	if n < 2 {
		return 1
	}
	return 1 + durationSpread*math.Sqrt(2*math.Log(float64(n)))
}
