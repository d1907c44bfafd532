package cranslotsim

import (
	"math"
	"math/rand/v2"
)

// The surge: five times the mean rate for surgeLength in every surgePeriod.
const (
	surgeFactor = 5.0
	surgeLength = 5.0
	surgePeriod = 50.0
)

// heavySquaredVariation is the squared coefficient of variation of the heavy
// service times.
const heavySquaredVariation = 5.0

// job is one request.
type job struct {
	arrival float64
	service float64
	entry   int
}

// jobs returns the requests of a run in the order of arrival. They depend on
// the seed, the load, the service and the fleet, and not on the scheme.
func jobs(s Settings) []*job {
	random := rand.New(rand.NewPCG(s.Seed, 0))
	rate := s.Load * float64(s.Targets*s.Slots)
	peak := rate
	if s.Surge {
		peak = rate * surgeFactor
	}
	var list []*job
	for now := random.ExpFloat64() / peak; now < s.Duration; now += random.ExpFloat64() / peak {
		if random.Float64()*peak >= rateAt(s, rate, now) {
			continue
		}
		list = append(list, &job{arrival: now, service: serviceTime(s.Service, random), entry: random.IntN(s.Entries)})
	}
	return list
}

// rateAt returns the arrival rate at a time; over a whole period its mean is
// the given rate.
func rateAt(s Settings, rate, now float64) float64 {
	if !s.Surge {
		return rate
	}
	if math.Mod(now, surgePeriod) < surgeLength {
		return rate * surgeFactor
	}
	return rate * (surgePeriod - surgeFactor*surgeLength) / (surgePeriod - surgeLength)
}

// serviceTime draws a service time of mean 1.
func serviceTime(service string, random *rand.Rand) float64 {
	x := random.ExpFloat64()
	if service == Exponential {
		return x
	}
	c := heavySquaredVariation
	p := (1 + math.Sqrt((c-1)/(c+1))) / 2
	if random.Float64() < p {
		return x / (2 * p)
	}
	return x / (2 * (1 - p))
}
