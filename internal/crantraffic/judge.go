package crantraffic

import (
	"errors"
	"net/http"

	"github.com/cranberrypick/cranberrypick/internal/cranfault"
)

// classification states what the result of an exchange means for its request.
type classification struct {
	result      callResult  // what the caller gets if the request isn't retried
	retryReason RetryReason // why the request could be sent again; empty if it must not be
}

// classify classifies an exchange whose result is set.
func classify(x *exchange) classification {
	res := x.result
	switch {
	case !res.written:
		return classifyNotSent(x)
	case isRefused(res.answer):
		return classification{
			result: notRun(cranfault.New(SlotsRefused, "try again later",
				"instance %s has no free slot", x.target.id)),
			retryReason: RetryRefused,
		}
	case res.answer != nil:
		return classification{result: answeredBy(res.answer), retryReason: retryReasonForStatus(res.answer)}
	case res.stream != nil:
		return classification{result: callResult{outcome: Answered, stream: res.stream}}
	case res.broken:
		return classification{
			result: unknown(cranfault.New(BrokenAnswer, remedyForUnknown(x.request),
				"the answer of instance %s was cut short or belongs to another request", x.target.id)),
			retryReason: RetryBrokenAnswer,
		}
	}
	return classification{
		result: unknown(cranfault.New(TargetLost, remedyForUnknown(x.request),
			"the connection to instance %s was lost after the request was sent", x.target.id)),
		retryReason: RetryLost,
	}
}

func classifyNotSent(x *exchange) classification {
	fault, again := notSentFault(x)
	c := classification{result: notRun(fault)}
	if again {
		c.retryReason = RetryNotSent
	}
	return c
}

// healthOf returns what an exchange whose result is set shows about its
// instance. An answer that says that no instance can run the request shows
// nothing.
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

// healthOfError returns the health for an exchange that failed. The instance is
// at fault unless the proxy itself prevented the send or abandoned the
// exchange.
func healthOfError(x *exchange) health {
	_, byGuard := faultOf(x.result.err)
	if byGuard || errors.Is(x.result.err, errSealed) || errors.Is(x.result.err, errNoOwner) {
		return healthNeutral
	}
	return healthBad
}

// retryReasonForStatus returns why an answered idempotent request could be sent
// again, or an empty reason.
func retryReasonForStatus(a *Answer) RetryReason {
	switch a.status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable:
		return RetryTargetFailed
	}
	return ""
}

// remedyForUnknown returns what the caller of a request with an unknown outcome
// can do.
func remedyForUnknown(r *request) string {
	if r.idempotent {
		return "send the request again"
	}
	return "send it again with the same " + headerKey + " to learn the outcome; it won't run twice"
}

// isRefused reports whether the target stated that it didn't run the request.
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

// notSentFault returns the fault of an exchange that never wrote, and whether
// another instance may be tried.
func notSentFault(x *exchange) (f *cranfault.Fault, again bool) {
	f, ok := faultOf(x.result.err)
	if !ok {
		return cranfault.New(Unreachable, "try again later",
			"no connection to instance %s could be opened", x.target.id), true
	}
	return f, f.Kind() == cranfault.NoTarget
}
