package cranoverload

import (
	"slices"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// Policy says which jobs are accepted.
type Policy string

// Policies.
const (
	// Product is the admission of the job service.
	Product Policy = "product"
	// AdmitAll accepts every job.
	AdmitAll Policy = "admitAll"
	// FixedQueue refuses a job while as many jobs wait as the capacity serves in queueTime.
	FixedQueue Policy = "fixedQueue"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{Product, AdmitAll, FixedQueue} }

// Settings holds the parameters of one run.
type Settings struct {
	Policy Policy `json:"policy"`
	// Factor is the offered load as a multiple of the capacity.
	Factor float64 `json:"factor"`
	// Length is how long the surge lasts.
	Length  time.Duration `json:"lengthNs"`
	Targets int           `json:"targets"`
	Seed    uint64        `json:"seed"`
	// Retries lets a caller that is refused repeat its request after the Retry-After, up to maxRetries times
	// within retryWindow.
	Retries bool `json:"retries"`
}

// validate returns a fault if a setting is unknown or out of range.
func (s Settings) validate() error {
	const remedy = "correct the settings of the simulation"
	switch {
	case !slices.Contains(Policies(), s.Policy):
		return cranfault.New(cranfault.Invalid, remedy, "unknown policy %q", s.Policy)
	case !(s.Factor > 0 && s.Factor <= maxFactor):
		return cranfault.New(cranfault.Invalid, remedy, "the factor is %v, above 0 to %d are allowed", s.Factor, maxFactor)
	case s.Length <= 0 || s.Length > maxLength:
		return cranfault.New(cranfault.Invalid, remedy, "the length is %v, above 0 to %v are allowed", s.Length, maxLength)
	case s.Targets < 1 || s.Targets > maxTargets:
		return cranfault.New(cranfault.Invalid, remedy, "the number of targets is %d, 1 to %d are allowed", s.Targets, maxTargets)
	}
	return nil
}

// Bounds of the settings. A shard has at most maxTargets targets in the largest deployment.
const (
	maxFactor  = 20
	maxLength  = 10 * time.Minute
	maxTargets = 220
)
