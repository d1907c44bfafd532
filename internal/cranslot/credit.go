package cranslot

// Credit is counted in messages. A request that starts earns one message, so
// that the scheme sends at most about one message a request, however many
// members there are and however long the queues.
const (
	creditMost       = 60
	creditPerRequest = 1
	creditPerAsk     = 1
	// creditPerLoan pays for the loan and its return.
	creditPerLoan = 2
	// dryAskSteps is the interval of asks without credit, which keep a member
	// going that has no slot and so earns nothing.
	dryAskSteps = 20
)

// credit bounds what a member spends on messages for one group.
type credit struct {
	// left is at most creditMost; it falls below 0 when more loans come than
	// were paid for.
	left int
	// drySteps counts the steps without credit since the last ask.
	drySteps int
}

func newCredit() credit { return credit{left: creditMost} }

// earn notes that a request started.
func (c *credit) earn() { c.left = min(c.left+creditPerRequest, creditMost) }

// spend notes an ask or a loan.
func (c *credit) spend(messages int) { c.left -= messages }

// allows reports whether to ask in this step.
func (c *credit) allows() bool {
	if c.left > 0 {
		c.drySteps = 0
		return true
	}
	c.drySteps++
	if c.drySteps < dryAskSteps {
		return false
	}
	c.drySteps = 0
	return true
}
