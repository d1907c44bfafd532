// Command headoffice prints the configuration of the Head Office deployment: five services,
// each on its own pool, and office as the spare pool.
//
// The configuration gives moves the highest price, because a move risks that a booking is
// lost or made twice.
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
