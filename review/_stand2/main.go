// Command stand runs the scripted cases of the second review: it starts entry nodes as processes before
// stand-ins of the platform, and checks a rule from what clients, runners and the platform see.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	// Processes are started by this thread, and end with it.
	runtime.LockOSThread()
	if len(os.Args) != 4 {
		fmt.Println("usage: stand CASE FOLDER PROGRAM")
		os.Exit(failed)
	}
	cases := map[string]func(dir, program string) (int, error){
		"unlisted-ends": unlistedEnds, "advice": busyAdvice, "sick-runner": sickRunner, "gang": gangCheckpoints,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(failed)
	}
	code, err := run(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println("the case could not run:", err)
		os.Exit(failed)
	}
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule is BROKEN", failed: "the case could not run"}[code])
	os.Exit(code)
}
