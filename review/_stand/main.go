// Command stand plays one case of the review: it starts entry instances as processes before
// stand-ins of the platform, its machines and runners, and checks one rule on what these saw.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases maps the name of a case to its function, which returns what broke the rule.
var cases = map[string]func(w *world, program string) (broken []string, err error){
	"same-id":       sameID,
	"cloud-out":     cloudOut,
	"dropped-route": droppedRoute,
	"more-runners":  moreRunners,
}

func main() {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "target/cranberrypick", "the program under test")
	out := flag.String("out", "record.txt", "the record")
	logs := flag.Bool("logs", false, "keep the entries' logs beside the record")
	flag.Parse()
	os.Exit(play(*name, *program, *out, *logs))
}

func play(name, program, out string, logs bool) int {
	rec, err := newRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	w, err := newWorld(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := run(w, program)
	if logs {
		w.keepLogs(filepath.Dir(out))
	}
	w.close()
	if err != nil {
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, line := range broken {
		rec.add("BROKEN: %s", line)
		fmt.Println("BROKEN:", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
