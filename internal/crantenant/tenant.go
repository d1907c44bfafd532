package crantenant

import (
	"math"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

const (
	// maxWeight bounds the weight of a tenant, in jobs per second. It exceeds what any
	// store accepts, and sums over all tenants stay exact.
	maxWeight = 1e9
	// maxName bounds the name of a tenant, in bytes. The name is stored with each job.
	maxName = 256
)

// Tenant is a customer whose callers share an entitlement and a cap.
type Tenant struct {
	Name string
	// Weight is the number of jobs per second to which the tenant is entitled, and its
	// share of the room when all of it is in use. It is finite and not negative.
	Weight float64
	// Cap is what the tenant may have running on all targets together. No quantity is
	// negative; 0 means that there is no limit.
	Cap cranjob.Resources
}

// ValidName reports whether a tenant may have a name.
func ValidName(name string) bool { return name != "" && len(name) <= maxName }

// validate returns a fault of kind Invalid if a value is out of range.
func (t *Tenant) validate() error {
	switch {
	case !ValidName(t.Name):
		return refuse("the name of a tenant has %d bytes, 1 to %d are allowed", len(t.Name), maxName)
	case math.IsNaN(t.Weight) || t.Weight < 0 || t.Weight > maxWeight:
		return refuse("the weight of the tenant %q is %v, 0 to %v are allowed", t.Name, t.Weight, maxWeight)
	case !t.Cap.Valid():
		return refuse("the cap of the tenant %q is negative or above %d", t.Name, int64(cranjob.MaxResource))
	}
	return nil
}

func refuse(format string, args ...any) error {
	return cranfault.New(cranfault.Invalid, "correct the tenants and publish the configuration again", format, args...)
}
