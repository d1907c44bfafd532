package cransched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cranberrypick/cranberrypick/internal/cranexplain"
	"github.com/cranberrypick/cranberrypick/internal/cranjob"
)

// dueSentence returns what a job waits for of which no occurrence is due.
func dueSentence(dueMs int64) string {
	return fmt.Sprintf("the time of the first occurrence, in %v", time.Duration(dueMs)*time.Millisecond)
}

// appendSentences appends what would have to change for a stage to start, without repetitions.
func appendSentences(list []string, st *stage, o *rehearsed, ahead int) []string {
	if o.target != "" {
		return list
	}
	add := func(format string, args ...any) {
		if text := fmt.Sprintf(format, args...); !slices.Contains(list, text) {
			list = append(list, text)
		}
	}
	j := st.tasks[0].job
	switch o.hindrance {
	case startsUncertain:
		add("a read of the submissions by the owner of the shard, which may not know every cancellation")
		return list
	case startsLimited:
		add("responses to the starts under way, of which the owner of the shard has as many as it may have")
		return list
	case waitsForCap:
		d := st.step.Demand
		if st.step.Gang {
			d = multiply(d, st.step.Count)
		}
		add("%s free under the cap of tenant %s, of its share of this shard", describe(d), j.Tenant)
		return list
	case noHindrance, waitsForTicket:
	}
	if len(o.excluded) == 0 {
		add("a target in pool %s", j.Pool)
	}
	for _, reason := range cranexplain.Reasons() {
		if o.excluded[reason] == 0 {
			continue
		}
		switch reason {
		case cranexplain.NotSchedulable:
			add("a response of one of %d targets of pool %s that don't respond, have failed often or have just restarted", o.excluded[reason], j.Pool)
		case cranexplain.Leaving:
			add("the return of one of %d targets of pool %s that drain, are cordoned or are kept free", o.excluded[reason], j.Pool)
		case cranexplain.NoLabel:
			add("a target of pool %s with the label %s", j.Pool, st.step.Requires)
		case cranexplain.Limit:
			add("fewer tasks of step %d on one target of pool %s, by the limit of the step", st.name.Step, j.Pool)
		case cranexplain.NoTicket:
			add("a ticket of the advice service for step %d on one target of pool %s", st.name.Step, j.Pool)
		case cranexplain.NoRoom:
			behind := ""
			if ahead > 0 {
				behind = fmt.Sprintf(" after the %d waiting stages ahead", ahead)
			}
			add("%s free on one target of pool %s%s", describe(st.step.Reservation()), j.Pool, behind)
		case cranexplain.Other:
			if st.step.Gang {
				add("room for all %d tasks of step %d at once in pool %s", st.step.Count, st.name.Step, j.Pool)
			}
		}
	}
	return list
}

// describe returns resources as text.
func describe(d cranjob.Resources) string {
	var parts []string
	if d.CPU > 0 {
		parts = append(parts, cranexplain.Cores(d.CPU))
	}
	if d.Memory > 0 {
		parts = append(parts, fmt.Sprintf("%d MB", d.Memory))
	}
	if d.Accelerators > 0 {
		parts = append(parts, fmt.Sprintf("%d accelerators", d.Accelerators))
	}
	if len(parts) == 0 {
		return "room"
	}
	return strings.Join(parts, " and ")
}
