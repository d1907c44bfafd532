package crantraffic

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the length of the stateful tests, unless the
// command line gives them.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "1", "rapid.steps": "100"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}
