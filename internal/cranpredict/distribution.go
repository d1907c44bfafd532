package cranpredict

import "math"

// Distribution is the predicted distribution of the duration of a task. The zero value predicts nothing.
type Distribution struct {
	// mu is the mean of the logarithm of the duration in seconds, between and within the variances of what the
	// step and the task add to it.
	mu, between, within float64
	shape               *shape
}

// Known reports whether anything is predicted.
func (d Distribution) Known() bool { return d.within > 0 }

func (d Distribution) sd() float64 { return math.Sqrt(d.between + d.within) }

// MeanMs returns the expected duration.
func (d Distribution) MeanMs() float64 {
	if !d.Known() {
		return 0
	}
	return 1000 * math.Exp(d.mu+(d.between+d.within)/2)
}

// QuantileMs returns the duration that is not exceeded with probability p.
func (d Distribution) QuantileMs(p float64) float64 {
	if !d.Known() {
		return 0
	}
	return 1000 * math.Exp(d.mu+d.sd()*d.shape.quantile(p))
}

// LongestMs returns about the median of the duration of the longest of n tasks of a step. Deadlines
// that follow from it are early as often as late, unlike those that follow from the mean.
func (d Distribution) LongestMs(n int) float64 {
	if !d.Known() {
		return 0
	}
	mean, _ := longestOf(n)
	return 1000 * math.Exp(d.mu+math.Sqrt(d.within)*mean)
}

// LongestQuantileMs returns about the duration of the longest of n tasks of a step that is not exceeded in a share p of
// the steps of its class.
func (d Distribution) LongestQuantileMs(n int, p float64) float64 {
	return d.LongestMs(n) * math.Exp(math.Sqrt(d.between)*normalQuantile(p))
}

// MeanLongestMs returns the expected duration of the longest of n tasks of a step.
func (d Distribution) MeanLongestMs(n int) float64 {
	_, variance := longestOf(n)
	return d.LongestMs(n) * math.Exp((d.between+d.within*variance)/2)
}

// RemainingMs returns the expected remaining time of a task that has run for a while.
func (d Distribution) RemainingMs(elapsedMs float64) float64 {
	if !d.Known() {
		return 0
	}
	if elapsedMs < minMs {
		return d.MeanMs()
	}
	elapsed := elapsedMs / 1000
	variance := d.between + d.within
	sd := math.Sqrt(variance)
	z := (math.Log(elapsed) - d.mu) / sd
	if z > 5 {
		// The difference below would be lost in rounding; this is its limit.
		return 1000 * elapsed * sd / z
	}
	mean := math.Exp(d.mu+variance/2) * upperTail(z-sd) / upperTail(z)
	return 1000 * max(mean-elapsed, 0)
}

// RemainingQuantileMs returns the remaining time that a task which has run for a while does not exceed with
// probability p.
func (d Distribution) RemainingQuantileMs(elapsedMs, p float64) float64 {
	if !d.Known() {
		return 0
	}
	if elapsedMs < minMs {
		return d.QuantileMs(p)
	}
	sd := d.sd()
	tail := upperTail((math.Log(elapsedMs/1000) - d.mu) / sd)
	if tail < 1e-6 {
		return d.RemainingMs(elapsedMs)
	}
	return max(1000*math.Exp(d.mu-sd*normalQuantile((1-p)*tail))-elapsedMs, 0)
}

// Expectation is what was predicted for a run when it started, for the calibration.
type Expectation struct {
	mu, sd           float32
	halfMs, ninetyMs float32
}

// Expect returns what is kept of the distribution until the run has ended.
func (d Distribution) Expect() Expectation {
	if !d.Known() {
		return Expectation{}
	}
	return Expectation{float32(d.mu), float32(d.sd()), float32(d.QuantileMs(0.5)), float32(d.QuantileMs(0.9))}
}

// Calibration counts the runs that ended, and those that did so within the quantiles predicted at their start.
type Calibration struct{ Runs, Within50, Within90 int }

func (c *Calibration) add(durationMs float64, e Expectation) {
	c.Runs++
	if durationMs <= float64(e.halfMs) {
		c.Within50++
	}
	if durationMs <= float64(e.ninetyMs) {
		c.Within90++
	}
}

// TakeCalibration returns the counts since the last call.
func (m *Model) TakeCalibration() Calibration {
	c := m.calibration
	m.calibration = Calibration{}
	return c
}

// longestOf returns the mean, by Blom's approximation, and the variance of the largest of n standard normal values.
func longestOf(n int) (mean, variance float64) {
	if n < 2 {
		return 0, 1
	}
	return normalQuantile((float64(n) - 0.375) / (float64(n) + 0.25)), 1 / (1 + 0.9*math.Log(float64(n)))
}

// upperTail returns the probability that a standard normal value exceeds z.
func upperTail(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

func normalQuantile(p float64) float64 {
	return -math.Sqrt2 * math.Erfcinv(2*min(max(p, 1e-12), 1-1e-12))
}

// hazard returns the mean of a standard normal value that exceeds z.
func hazard(z float64) float64 {
	if z > 8 {
		return z + 1/z
	}
	return math.Exp(-z*z/2) / math.Sqrt(2*math.Pi) / upperTail(z)
}
