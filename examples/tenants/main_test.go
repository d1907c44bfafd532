package main

import (
	"bytes"
	"errors"
	"io"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cranberrypick/cranberrypick/platform/standin"
)

// TestRun guards against a program that fails, that skips the request without a key or the replacement, or whose burst
// doesn't exceed what the service accepts, so that it would show nothing. On a machine that was too busy to run the
// service in time, jobs may be refused, but none may be lost or run twice.
func TestRun(t *testing.T) {
	var out bytes.Buffer
	err := run(t.Context(), 2*time.Second, &out, io.Discard)
	text := out.String()
	if errors.Is(err, errStalled) {
		t.Logf("%v\n%s", err, text)
		require.NotErrorIs(t, err, errBroken)
		require.Contains(t, text, "is answered 401")
		return
	}
	require.NoError(t, err, "%s", text)
	require.Contains(t, text, "is answered 401")
	require.Contains(t, text, "The key of steady was replaced")
	require.Equal(t, []int{8, 8, 0}, row(t, text, "steady", "during"))
	burst := row(t, text, "bursty", "during")
	require.Equal(t, 120, burst[0])
	require.Positive(t, burst[2], "nothing was refused")
}

// row returns the jobs of a tenant in a phase that were sent, accepted and refused.
func row(t *testing.T, text, tenant, phase string) []int {
	found := regexp.MustCompile(tenant + ` +` + phase + ` +(\d+) +(\d+) +(\d+)`).FindStringSubmatch(text)
	require.Len(t, found, 4, "%s", text)
	var numbers []int
	for _, digits := range found[1:] {
		n, err := strconv.Atoi(digits)
		require.NoError(t, err)
		numbers = append(numbers, n)
	}
	return numbers
}

// TestCheck guards against a run that is reported as good although a job within the entitlement wasn't accepted, an
// accepted job was lost, or a target has recorded a violation.
func TestCheck(t *testing.T) {
	steady, bursty := newTenants()
	checkWith := func(of *tenant, n counts, violations ...string) error {
		r := &report{tenants: []*tenant{steady, bursty}, counts: map[*tenant]*[len(phaseNames)]counts{steady: {}, bursty: {}}}
		r.counts[of][1] = n
		return r.check(steady, violations)
	}
	require.NoError(t, checkWith(steady, counts{sent: 2, accepted: 2, inTime: 1, late: 1}))
	require.NoError(t, checkWith(bursty, counts{sent: 3, accepted: 1, refused: 1, unknown: 1, inTime: 1}))
	require.Error(t, checkWith(steady, counts{sent: 2, accepted: 1, inTime: 1, refused: 1}))
	require.Error(t, checkWith(steady, counts{sent: 2, accepted: 1, inTime: 1, unknown: 1}))
	for _, tenant := range []*tenant{steady, bursty} {
		require.Error(t, checkWith(tenant, counts{sent: 2, accepted: 2, inTime: 1, lost: 1}))
	}
	require.Error(t, checkWith(bursty, counts{}, "a task ran twice"))
}

// TestAddEnd guards against jobs that are counted as in time although they ended late or not at all.
func TestAddEnd(t *testing.T) {
	var n counts
	j := &job{sentAt: time.Now(), outcome: standin.OutcomeAccepted}
	n.addEnd(j, j.sentAt.Add(objective))
	n.addEnd(j, j.sentAt.Add(objective+time.Millisecond))
	n.addEnd(j, time.Time{})
	require.Equal(t, counts{inTime: 1, late: 1, lost: 1}, n)
}
