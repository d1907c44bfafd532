package cranslotsim

import (
	"math"
	"math/rand/v2"
)

// During a surge, requests arrive at surgeFactor times the mean rate. A surge of surgeLength
// begins every surgePeriod, and the first begins at time 0.
const (
	surgeFactor = 5.0
	surgeLength = 5.0
	surgePeriod = 50.0
)

// heavySquaredVariation is the squared coefficient of variation of the Heavy distribution.
const heavySquaredVariation = 5.0

// job is one request with its arrival time, its service time and the index of its entry.
type job struct {
	arrival float64
	service float64
	entry   int
}

// jobs returns the requests of a run in order of arrival. They depend on the settings of the
// workload and the fleet, but not on the scheme.
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

// rateAt returns the arrival rate at a time. Its mean over a surge period is the given rate.
func rateAt(s Settings, rate, now float64) float64 {
	if !s.Surge {
		return rate
	}
	if math.Mod(now, surgePeriod) < surgeLength {
		return rate * surgeFactor
	}
	return rate * (surgePeriod - surgeFactor*surgeLength) / (surgePeriod - surgeLength)
}

// serviceTime returns a random service time with mean 1.
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
