package crantraffic

// Parameters of the retry budget.
const (
	retryShare   = 0.1 // retries earned by each request
	retryReserve = 3   // retries at the start
	retryMost    = 20  // retries that can be saved up
)

// retryBudget bounds the retries of a service to a share of its requests, so
// that retries can't multiply the load when many requests fail.
type retryBudget struct {
	tokens float64 // retries that may be made now, from 0 to retryMost
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryReserve} }

// earn counts a request.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryShare, retryMost) }

// spend takes one retry, if there is one.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund gives a retry back that wasn't made.
func (b *retryBudget) refund() { b.tokens = min(b.tokens+1, retryMost) }
