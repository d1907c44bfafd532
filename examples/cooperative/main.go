// Command cooperative prints the configuration of the Cooperative deployment: five services,
// each on its own pool, and backOffice as the spare pool.
//
// The configuration gives idle capacity the highest price, because idle capacity costs
// the Cooperative workshop money.
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
