package cranslot

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the length of the property tests unless the
// command line gives them.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.steps", "250")
	setDefault("rapid.checks", "400")
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
