// Command stand plays the cases of review/11 to review/15 that are scripts. It is a small platform with runners and
// requesters on loopback addresses, as the users' pages describe them, before entry instances that run as processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// program is the program of the deploy file.
var program string

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(d *deployment, trouble bool) (bool, error){
	"wave": playWave, "large": playLarge, "advice": playAdvice, "tenant": playTenant, "mixed": playMixed,
}

func main() {
	name := flag.String("case", "", "name of the case")
	out := flag.String("record", "record.txt", "file of the record")
	flag.StringVar(&program, "program", "target/cranberrypick", "program of the deploy file")
	flag.Parse()
	os.Exit(run(*name, *out, os.Getenv("TROUBLE") != "0"))
}

func run(name, out string, trouble bool) int {
	const held, broken, failed = 0, 1, 2
	play := cases[name]
	file, err := os.Create(out)
	if play == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	if program, err = filepath.Abs(program); err != nil {
		return failed
	}
	r := &record{file: file, begun: time.Now()}
	d, err := newDeployment(r)
	if err != nil {
		r.say("the case couldn't run: %v", err)
		return failed
	}
	defer d.close()
	// A case takes 120 seconds at most.
	time.AfterFunc(110*time.Second, func() {
		r.say("the case took too long")
		d.close()
		os.Exit(failed)
	})
	bad, err := play(d, trouble)
	switch {
	case err != nil:
		r.say("the case couldn't run: %v", err)
		return failed
	case bad:
		r.say("result: the rule was broken")
		return broken
	}
	r.say("result: the rule held")
	return held
}

// begin starts the runners' entries and the entry instances.
func (d *deployment) begin(entries int) error {
	go d.beat()
	go d.settle()
	for n := range entries {
		if err := d.addEntry(n); err != nil {
			return err
		}
	}
	if !d.awaitReady(20 * time.Second) {
		return fmt.Errorf("the entries didn't get ready")
	}
	return nil
}

// route returns a route of a configuration.
func route(name, prefix, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "q.example", "path_prefix": prefix, "service": service, "attempts": attempts,
		"stretch": 1.6, "target_latency_ms": 600, "timeout_ms": 3000, "priority": 0,
	}
}

func configOf(services []string, routes ...map[string]any) map[string]any {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s})
	}
	return map[string]any{"routes": routes, "services": list}
}

// job returns the body of a submission with one step.
func job(spec string, step map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": []map[string]any{step}}
}
