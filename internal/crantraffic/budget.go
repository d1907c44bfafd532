package crantraffic

// Default parameters of the retry budget.
const (
	retryShare         = 0.1 // retries that each request adds to the budget
	initialRetryTokens = 3   // retries available at the start
	maxRetryTokens     = 20  // retries that can be accumulated
)

// retryPolicy limits how often requests are sent again.
type retryPolicy struct {
	share       float64 // retries that each request adds to the budget
	burst       int     // retries that can be accumulated
	maxAttempts int     // sends of one request, the first included; at least 1
}

// retryBudget limits the retries of a service to a share of its requests.
// Without a limit, retries would multiply the load when many requests fail.
type retryBudget struct {
	share     float64 // tokens added by each request
	maxTokens float64 // upper bound of tokens
	tokens    float64 // retries that may be made now, from 0 to maxTokens
}

func newRetryBudget(p retryPolicy) *retryBudget {
	maxTokens := float64(p.burst)
	return &retryBudget{share: p.share, maxTokens: maxTokens, tokens: min(initialRetryTokens, maxTokens)}
}

// earn adds the share of one request.
func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.share, b.maxTokens) }

// spend takes one token. It reports false if there is none.
func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund returns the token of a retry that was not made.
func (b *retryBudget) refund() { b.tokens = min(b.tokens+1, b.maxTokens) }
