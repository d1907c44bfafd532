package cranslot

// Credit is counted in messages. Each request that starts earns credit for one
// message, so that a member sends about one message for each request at most,
// independent of the number of members and the queue lengths.
const (
	// maxCredit is the highest credit of a member, which is also its initial one.
	maxCredit        = 200
	creditPerRequest = 1
	creditPerAsk     = 1
	// creditPerLoan pays for the loan and its return.
	creditPerLoan = 2
	// creditPerRetry pays for sending a loan again, which the owner does.
	creditPerRetry = 1
	// noCreditAskSteps is the interval between asks without credit, in steps.
	// Such asks let a member without slots get some, since it starts no
	// requests and so earns no credit.
	noCreditAskSteps = 20
)

// credit limits the messages that a member sends for one group.
type credit struct {
	// balance is at most maxCredit. It falls below 0 when more loans are
	// accepted than the credit covers.
	balance int
	// stepsWithoutCredit counts the steps without credit since the last ask.
	stepsWithoutCredit int
}

// newCredit returns the full credit.
func newCredit() credit { return credit{balance: maxCredit} }

// earn adds the credit for a request that started.
func (c *credit) earn() { c.balance = min(c.balance+creditPerRequest, maxCredit) }

// spend subtracts messages that were sent or will be.
func (c *credit) spend(messages int) { c.balance -= messages }

// mayAsk reports whether to ask in this step, and counts the step if there is
// no credit.
func (c *credit) mayAsk() bool {
	if c.balance > 0 {
		c.stepsWithoutCredit = 0
		return true
	}
	c.stepsWithoutCredit++
	if c.stepsWithoutCredit < noCreditAskSteps {
		return false
	}
	c.stepsWithoutCredit = 0
	return true
}
