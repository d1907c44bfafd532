// Command headoffice prints the configuration of Head Office: five services,
// each on a pool of its own, and the office pool as the spare.
//
// Head Office weighs moves most, since a move risks a lost or doubled booking.
package main

import (
	"fmt"
	"os"

	"github.com/cranberrypick/cranberrypick/internal/crandeployment"
)

func main() {
	c, err := crandeployment.HeadOffice()
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
