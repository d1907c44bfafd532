package cranpredict

import "math"

const (
	// offsetPrior is the weight of the wider group, in steps, for the mean of a narrower one, slopePrior the
	// same for the slope, as a sum of squares of x, and variancePrior for the variance.
	offsetPrior   = 3
	slopePrior    = 1
	variancePrior = 4
	// priorVariance is the variance of the logarithm of a duration about its estimate before anything is known. It
	// is lower than that of bad estimates, 0.8: with that, no job counts as late until the first have ended.
	priorVariance = 0.3
	// priorWithin is the variance of the logarithm of the durations of a step, and withinPrior its weight in tasks.
	priorWithin = 0.15 * 0.15
	withinPrior = 10
	// minBetween bounds the variance between steps, so that finished tasks of a step always count.
	minBetween = 0.01
	// maxVariance bounds the variances, as the mean of a log-normal distribution grows exponentially with them.
	maxVariance = 1.5
)

// sums are the weighted sums of a regression of y, the logarithm of durations, on x, that of estimates.
type sums struct{ n, x, y, xx, xy, yy float64 }

func (s *sums) add(x, y, yy, weight float64) {
	s.n += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
	s.yy += weight * yy
}

func (s *sums) scale(f float64) {
	s.n *= f
	s.x *= f
	s.y *= f
	s.xx *= f
	s.xy *= f
	s.yy *= f
}

// line is a fitted line, with the variance of y about it and the number of samples that support its offset.
type line struct{ offset, slope, variance, weight float64 }

// prior is the line without any observation: the estimates are right.
var prior = line{slope: 1, variance: priorVariance, weight: offsetPrior}

// refine returns the line of a narrower group with the given sums.
func (l line) refine(s sums) line {
	if s.n <= 0 {
		return l
	}
	meanX := s.x / s.n
	residual := s.y - s.n*l.offset - l.slope*s.x
	covariance := s.xy - l.offset*s.x - l.slope*s.xx - meanX*residual
	slope := covariance / (max(s.xx-s.n*meanX*meanX, 0) + slopePrior)
	shift := residual / (s.n + offsetPrior)
	refined := line{offset: l.offset + shift - slope*meanX, slope: l.slope + slope, weight: s.n + offsetPrior}
	a, b := refined.offset, refined.slope
	squares := s.yy - 2*a*s.y - 2*b*s.xy + s.n*a*a + 2*a*b*s.x + b*b*s.xx
	refined.variance = min((max(squares, 0)+variancePrior*l.variance)/(s.n+variancePrior), maxVariance)
	return refined
}

// at returns the expected logarithm of a duration.
func (l line) at(x float64) float64 {
	return min(max(l.offset+l.slope*x, math.Log(minMs/1000.0)), math.Log(maxMs/1000.0))
}
