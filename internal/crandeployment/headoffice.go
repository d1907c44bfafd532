package crandeployment

import (
	"time"

	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// HeadOffice returns the configuration of the Head Office deployment: five services, each on
// its own pool, and office as the spare pool. The pools of the services have 48 instances;
// the remaining 2 of the fleet's 50 are in the spare pool.
func HeadOffice() (*cranfleet.Config, error) {
	return cranfleet.New("headOffice",
		cranfleet.WithPool("placements", 12),
		cranfleet.WithPool("rosters", 10),
		cranfleet.WithPool("vetBookings", 9),
		cranfleet.WithPool("outings", 9),
		cranfleet.WithPool("checkIns", 8),
		cranfleet.WithSpare("office"),
		cranfleet.WithService("placements", "placements", cranfleet.MaxUnavailable(2)),
		cranfleet.WithService("rosters", "rosters", cranfleet.MaxUnavailable(2)),
		cranfleet.WithService("vetBookings", "vetBookings", cranfleet.MaxUnavailable(2)),
		cranfleet.WithService("outings", "outings", cranfleet.MaxUnavailable(2)),
		cranfleet.WithService("checkIns", "checkIns",
			cranfleet.MaxUnavailable(1),
			cranfleet.MaxDuration(5*time.Second)),
		cranfleet.WithPrices(30, 0.05, 3),
	)
}
