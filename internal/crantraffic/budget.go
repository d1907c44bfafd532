package crantraffic

// Default parameters of the retry budget.
const (
	retryShare   = 0.1 // retries earned by each request
	retryReserve = 3   // retries at the start
	retryMost    = 20  // retries that can be saved up
)

// retryPolicy says how often requests are sent again.
type retryPolicy struct {
	share    float64 // retries earned by each request
	burst    int     // retries that can be saved up
	attempts int     // sends of one request, at least 1
}

// retryBudget bounds the retries of a service to a share of its requests, so
// that retries can't multiply the load when many requests fail.
type retryBudget struct {
	share  float64 // retries earned by each request
	most   float64 // retries that can be saved up
	tokens float64 // retries that may be made now, from 0 to most
}

func newRetryBudget(p retryPolicy) *retryBudget {
	most := float64(p.burst)
	return &retryBudget{share: p.share, most: most, tokens: min(retryReserve, most)}
}

// earn counts a request.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.share, b.most) }

// spend takes one retry, if there is one.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund gives a retry back that wasn't made.
func (b *retryBudget) refund() { b.tokens = min(b.tokens+1, b.most) }
