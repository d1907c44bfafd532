package crandeployment

import (
	"time"

	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

// Cooperative returns the configuration of the Cooperative: five services,
// each on a pool of its own, and the back-office pool as the spare. It
// describes 48 instances; the spare holds the others of the fleet's 50.
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
