package cransched

import (
	"math"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// slopePriorWeight is the weight, in observations, of the prior that durations are
	// proportional to their estimates. slopePriorVariance is the variance of the logarithm
	// of the estimate that each such observation contributes.
	slopePriorWeight   = 8
	slopePriorVariance = 0.25
	// offsetPriorWeight is the weight, in observations, of the prior that estimates are
	// unbiased.
	offsetPriorWeight = 4
	// durationSpread is the coefficient of variation of task durations within a step. A
	// step ends with its longest task, so wider steps take longer.
	durationSpread = 0.3
	// durationsPerRecord is the number of new observations of a queue after which the
	// model is stored for the next owner.
	durationsPerRecord = 50
	// storeTime is how long a placement waits to be stored before its start is sent.
	storeTime = 40 * time.Millisecond
	// reportTime is how long after the end of a run its owner learns of it.
	reportTime = minHeartbeatGap
	// estimateInterval is how often the critical paths of a job are recomputed.
	estimateInterval = 500 * time.Millisecond
)

// predictor is a linear regression of the logarithm of the durations of a queue's tasks on
// the logarithm of their estimates. Estimates may be wrong by a factor of several; the
// larger the independent errors are, the flatter the line is.
type predictor struct {
	cranjob.Durations
	// storedCount is the number of observations in the stored model.
	storedCount float64
}

// add adds the duration of a successful task.
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

// longestTaskFactor returns the expected ratio of the longest duration among n tasks to
// the mean duration.
func longestTaskFactor(n int) float64 {
	if n < 2 {
		return 1
	}
	return 1 + durationSpread*math.Sqrt(2*math.Log(float64(n)))
}
