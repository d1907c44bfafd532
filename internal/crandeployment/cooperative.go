package crandeployment

import (
	"time"

	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// Cooperative returns the configuration of the Cooperative deployment: five services, each on
// its own pool, and backOffice as the spare pool. The pools of the services have 48
// instances; the remaining 2 of the fleet's 50 are in the spare pool.
func Cooperative() (*cranfleet.Config, error) {
	return cranfleet.New("cooperative",
		cranfleet.WithPool("previews", 12),
		cranfleet.WithPool("sheets", 10),
		cranfleet.WithPool("packs", 9),
		cranfleet.WithPool("orders", 9),
		cranfleet.WithPool("catalogue", 8),
		cranfleet.WithSpare("backOffice"),
		cranfleet.WithService("previews", "previews",
			cranfleet.MaxUnavailable(3),
			cranfleet.MaxDuration(5*time.Second)),
		cranfleet.WithService("sheets", "sheets",
			cranfleet.MaxUnavailable(2),
			cranfleet.MaxDuration(30*time.Second)),
		cranfleet.WithService("packs", "packs", cranfleet.MaxUnavailable(2)),
		cranfleet.WithService("orders", "orders", cranfleet.MaxUnavailable(1)),
		cranfleet.WithService("catalogue", "catalogue", cranfleet.MaxUnavailable(2)),
		cranfleet.WithPrices(1, 3, 2),
	)
}
