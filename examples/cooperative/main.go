// Command cooperative prints the configuration of the Cooperative: five
// services, each on a pool of its own, and the back-office pool as the spare.
//
// The Cooperative weighs idle capacity most, since it costs workshop money.
package main

import (
	"fmt"
	"os"

	"github.com/cranberrypick/cranberrypick/internal/crandeployment"
)

func main() {
	c, err := crandeployment.Cooperative()
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
