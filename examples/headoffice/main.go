// Command headoffice prints the configuration of Head Office: five services,
// each on a pool of its own, and the office pool as the spare.
//
// Head Office weighs moves most, since a move risks a lost or doubled booking.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/cranberrypick/cranberrypick/pkg/cranfleet"
)

func main() {
	c, err := configuration()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, err = os.Stdout.Write(c.Encode())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// configuration describes 48 instances; the spare holds the others of the
// fleet's 50.
func configuration() (*cranfleet.Config, error) {
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
