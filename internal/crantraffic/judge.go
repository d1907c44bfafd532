package crantraffic

import (
	"errors"
	"net/http"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// judgement is what one ended exchange means.
type judgement struct {
	outcome callResult  // what the caller is told if nothing further is tried
	retry   RetryReason // why it could be sent again; empty if it must not be
}

// judge classifies an exchange whose result is set.
func judge(x *exchange) judgement {
	res := x.result
	switch {
	case !res.written:
		return judgeNotSent(x)
	case isRefused(res.answer):
		return judgement{
			outcome: notRun(cranfault.New(SlotsRefused, "try again later",
				"instance %s has no free slot", x.target.id)),
			retry: RetryRefused,
		}
	case res.answer != nil:
		return judgement{outcome: answeredBy(res.answer), retry: retryOfStatus(res.answer)}
	case res.stream != nil:
		return judgement{outcome: callResult{verdict: Answered, stream: res.stream}}
	case res.broken:
		return judgement{
			outcome: unknown(cranfault.New(BrokenAnswer, remedyUnknown(x.request),
				"the answer of instance %s was cut short or not to this request", x.target.id)),
			retry: RetryBrokenAnswer,
		}
	}
	return judgement{
		outcome: unknown(cranfault.New(TargetLost, remedyUnknown(x.request),
			"the connection to instance %s was lost after the request was sent", x.target.id)),
		retry: RetryLost,
	}
}

func judgeNotSent(x *exchange) judgement {
	fault, again := whyNotSent(x)
	j := judgement{outcome: notRun(fault)}
	if again {
		j.retry = RetryNotSent
	}
	return j
}

// healthOf returns what an exchange whose result is set says of its instance.
// That a request can't run anywhere says nothing of it.
func healthOf(x *exchange) health {
	res := x.result
	switch {
	case res.stream != nil:
		return healthGood
	case res.answer == nil:
		return healthOfError(x)
	case isRefused(res.answer):
		return healthRefused
	case res.answer.status >= http.StatusInternalServerError:
		return healthBad
	case res.answer.header.Get(headerNever) != "":
		return healthNeutral
	}
	return healthGood
}

// healthOfError blames the instance unless the front itself kept the request
// from being sent, or gave it up.
func healthOfError(x *exchange) health {
	_, byGuard := faultOf(x.result.err)
	if byGuard || errors.Is(x.result.err, errSealed) || errors.Is(x.result.err, errUnowned) {
		return healthNeutral
	}
	return healthBad
}

// retryOfStatus returns why an answered idempotent request could be sent again.
func retryOfStatus(a *Answer) RetryReason {
	switch a.status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return RetryTargetFailed
	}
	return ""
}

// remedyUnknown says what the caller of a request with an unknown outcome can
// do.
func remedyUnknown(r *request) string {
	if r.idempotent {
		return "send the request again"
	}
	return "send it again with the same " + headerKey + " to learn the outcome; it won't run twice"
}

// isRefused reports whether the target proved that it didn't run the request.
func isRefused(a *Answer) bool {
	if a == nil || a.status != http.StatusServiceUnavailable {
		return false
	}
	switch a.header.Get(headerRefused) {
	case refusedSlots, refusedConnections:
		return true
	}
	return false
}

// whyNotSent returns the fault of an exchange that never wrote, and whether
// another instance may be tried.
func whyNotSent(x *exchange) (f *cranfault.Fault, again bool) {
	f, ok := faultOf(x.result.err)
	if !ok {
		return cranfault.New(Unreachable, "try again later",
			"no connection to instance %s could be opened", x.target.id), true
	}
	return f, f.Kind() == cranfault.NoTarget
}
