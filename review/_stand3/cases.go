package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// entries is the number of entry instances of a small deployment.
const entries = 6

// playAdvice drops the route of a queue that needs tickets while a job waits there.
func playAdvice(d *deployment, trouble bool) (bool, error) {
	for i := range 3 {
		if _, err := d.addRunner(fmt.Sprintf("i-%010x", 0x1000+i), "p", "r1", 16000, 65536); err != nil {
			return false, err
		}
	}
	qa := route("qa", "/qa/", "p", 3)
	qa["advice"] = map[string]any{"decide_ms": 20, "each_ms": 1, "valid_ms": 5000}
	d.publish(configOf([]string{"p"}, qa, route("qb", "/qb/", "p", 3)))
	if err := d.begin(entries); err != nil {
		return false, err
	}
	// The second step becomes ready after the route was dropped.
	const id = "00000000000000a1"
	body := map[string]any{"spec": "work=5000 ticket", "steps": []map[string]any{
		{"count": 2, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 5000},
		{"count": 2, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 5000, "after": []int{0}},
	}}
	if status, _ := d.ask(http.MethodPost, "/qa/"+id, "", body); status != 200 {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		d.publish(configOf([]string{"p"}, route("qb", "/qb/", "p", 3)))
	} else {
		d.publish(configOf([]string{"p"}, qa))
	}
	time.Sleep(30 * time.Second)
	d.mu.Lock()
	defer d.mu.Unlock()
	second, firstDone := 0, time.Time{}
	for _, s := range d.starts {
		if strings.HasPrefix(s.task, id+".0.1.") {
			second++
		}
	}
	for _, e := range d.taken {
		if strings.HasPrefix(e.task, id+".0.0.") && e.how == "done" {
			firstDone = e.at
		}
	}
	d.record.say("%d starts of the second step, whose turn came %.1f s ago", second, time.Since(firstDone).Seconds())
	return second == 0 && !firstDone.IsZero(), nil
}

// playLarge submits one large job among small ones.
func playLarge(d *deployment, trouble bool) (bool, error) {
	d.quietStarts = true
	for i := range 9 {
		id := fmt.Sprintf("7f3c9a2e-51b4-4c1d-9e0a-%012x", 0x1000+i)
		if _, err := d.addRunner(id, "render", fmt.Sprintf("r%d", i/4), 16000, 65536); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		id := fmt.Sprintf("1b0d4e77-20c9-4a55-8f31-%012x", 0x1000+i)
		if _, err := d.addRunner(id, "desk", "r9", 16000, 65536); err != nil {
			return false, err
		}
	}
	d.publish(configOf([]string{"render", "desk"}, route("qa", "/qa/", "render", 3), route("qb", "/qb/", "desk", 3)))
	if err := d.begin(entries); err != nil {
		return false, err
	}
	count := 600
	if trouble {
		count = 6000
	}
	step := map[string]any{"count": count, "cpu": 20, "mem_mb": 8, "estimate_ms": 80000, "checkpointing": true}
	if status, _ := d.ask(http.MethodPost, "/qa/5c0e7a21d94b36f8", "", job("work=90000 saves", step)); status != 200 {
		return false, fmt.Errorf("the large job was not accepted")
	}
	type small struct {
		id string
		at time.Time
	}
	var accepted []small
	for i := range 40 {
		id := fmt.Sprintf("%016x", 0xb000+i)
		status, _ := d.ask(http.MethodPost, "/qb/"+id, "", job("work=500", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500}))
		if status == 200 {
			accepted = append(accepted, small{id, time.Now()})
		}
		time.Sleep(time.Second)
	}
	time.Sleep(14 * time.Second)
	d.mu.Lock()
	begun := map[string]bool{}
	for _, s := range d.starts {
		begun[s.task] = true
	}
	idle := 0
	for _, r := range d.runners {
		if r.service == "desk" && !r.dead && len(r.runs) == 0 {
			idle++
		}
	}
	most := d.largest.Load()
	d.mu.Unlock()
	d.record.say("%d starts; the largest stored record has %d bytes, %d appends were refused; %d runners of the small jobs are idle",
		len(begun), most, d.refused.Load(), idle)
	lost := 0
	for _, s := range accepted {
		if !begun[s.id+".0.0.0"] {
			lost++
			if lost <= 5 {
				_, answer := d.ask(http.MethodGet, "/qb/"+s.id, "", nil)
				d.record.say("job %s, accepted %.1f s ago, has never begun, with its service idle; it is shown as %s", s.id, time.Since(s.at).Seconds(), answer)
			}
		}
	}
	d.record.say("%d of %d accepted small jobs have never begun", lost, len(accepted))
	return lost > 0 && idle >= 2, nil
}

// playTenant lets a tenant cancel the job of another one.
func playTenant(d *deployment, trouble bool) (bool, error) {
	for i := range 3 {
		if _, err := d.addRunner(fmt.Sprintf("i-%010x", 0x1000+i), "p", "r1", 16000, 65536); err != nil {
			return false, err
		}
	}
	config := configOf([]string{"p"}, route("qa", "/qa/", "p", 3), route("qb", "/qb/", "p", 3))
	d.contracts += `, "tenants", "quota"`
	capacity := map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}
	config["tenants"] = []map[string]any{
		{"name": "alpha", "api_keys": []string{"key-of-alpha"}, "weight": 1, "cap": capacity},
		{"name": "beta", "api_keys": []string{"key-of-beta"}, "weight": 1, "cap": capacity},
	}
	d.publish(config)
	if err := d.begin(entries); err != nil {
		return false, err
	}
	const first, second = "00000000000000a1", "00000000000000b2"
	step := map[string]any{"count": 2, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 15000}
	if status, _ := d.ask(http.MethodPost, "/qa/"+first, "key-of-alpha", job("work=15000", step)); status != 200 {
		return false, fmt.Errorf("the job was not accepted")
	}
	if status, _ := d.ask(http.MethodPost, "/qb/"+second, "key-of-beta", job("work=15000", step)); status != 200 {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	target := second
	if trouble {
		target = first
	}
	d.ask(http.MethodGet, "/qb/"+target, "key-of-beta", nil)
	d.ask(http.MethodDelete, "/qb/"+target, "key-of-beta", nil)
	time.Sleep(20 * time.Second)
	_, answer := d.ask(http.MethodGet, "/qa/"+first, "key-of-alpha", nil)
	return !strings.Contains(answer, "completed"), nil
}

// playWave kills the process that schedules after a wave is done and while an earlier one isn't.
func playWave(d *deployment, trouble bool) (bool, error) {
	var machines []string
	for i := range 9 {
		r, err := d.addRunner(fmt.Sprintf("i-%010x", 0x1000+i), "p", fmt.Sprintf("r%d", i/4), 16000, 65536)
		if err != nil {
			return false, err
		}
		machines = append(machines, r.machine)
	}
	d.publish(configOf([]string{"p"}, route("qa", "/qa/", "p", 3)))
	if err := d.begin(entries); err != nil {
		return false, err
	}
	// The first machine is at work for longer than the second wave takes.
	const long = "00000000000000a1"
	step := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "estimate_ms": 60000}
	if status, _ := d.ask(http.MethodPost, "/qa/"+long, "", job("work=60000", step)); status != 200 {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	busy := ""
	d.mu.Lock()
	for _, r := range d.runners {
		if len(r.runs) > 0 {
			busy = r.machine
		}
	}
	d.mu.Unlock()
	var others []string
	for _, m := range machines {
		if m != busy {
			others = append(others, m)
		}
	}
	d.askWave(1, machines[:], 60, 4)
	await := func(wave int) bool {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			d.mu.Lock()
			done := 0
			for _, r := range d.runners {
				if d.kept[fmt.Sprintf("%s/%d", r.machine, wave)] && !r.dead {
					done++
				}
			}
			d.mu.Unlock()
			if done == len(others) {
				return true
			}
		}
		return false
	}
	if !await(1) {
		return false, fmt.Errorf("the first wave didn't get on")
	}
	d.askWave(2, others, 24, 4)
	if !await(2) {
		return false, fmt.Errorf("the second wave didn't get on")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		if err := d.kill(d.owner(), 3500*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(10 * time.Second)
	var accepted []string
	for i := range 8 {
		id := fmt.Sprintf("%016x", 0xb000+i)
		if status, _ := d.ask(http.MethodPost, "/qa/"+id, "", job("work=500", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 512, "estimate_ms": 500})); status == 200 {
			accepted = append(accepted, id)
		}
	}
	time.Sleep(17 * time.Second)
	d.mu.Lock()
	begun := map[string]bool{}
	for _, s := range d.starts {
		begun[s.task] = true
	}
	idle := 0
	for _, r := range d.runners {
		if !r.dead && len(r.runs) == 0 {
			idle++
		}
	}
	d.mu.Unlock()
	lost := 0
	for _, id := range accepted {
		if !begun[id+".0.0.0"] {
			lost++
		}
	}
	d.record.say("%d of %d accepted jobs have not begun after 17 s; %d of %d runners are idle", lost, len(accepted), idle, len(machines))
	return lost > 0 && idle >= 5, nil
}

// playMixed asks for two waves of the same machines, and kills the process that schedules while they are carried out.
func playMixed(d *deployment, trouble bool) (bool, error) {
	var machines []string
	for i := range 12 {
		r, err := d.addRunner(fmt.Sprintf("i-%010x", 0x1000+i), "p", fmt.Sprintf("r%d", i/4), 16000, 65536)
		if err != nil {
			return false, err
		}
		machines = append(machines, r.machine)
	}
	d.publish(configOf([]string{"p"}, route("qa", "/qa/", "p", 3)))
	if err := d.begin(entries); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	d.askWave(1, machines, 24, 6)
	d.askWave(2, machines, 24, 6)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if err := d.kill(d.owner(), 3500*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(45 * time.Second)
	bad := false
	for wave := 1; wave <= 2; wave++ {
		status := d.status(fmt.Sprintf("wave/%d", wave))
		d.mu.Lock()
		missing := 0
		for _, m := range machines {
			if !d.kept[fmt.Sprintf("%s/%d", m, wave)] {
				missing++
			}
		}
		d.mu.Unlock()
		d.record.say("wave %d is said to be %s; %d of %d machines haven't begun their upkeep for it", wave, status, missing, len(machines))
		bad = bad || missing > 0 && strings.Contains(status, "completed")
	}
	return bad, nil
}
