package evidence

// RetryBudget admits client retries in proportion to the requests that are answered: in a retry storm fewer requests
// are answered, so fewer retries are admitted. The zero value is empty; make a Deposit before the first op.
type RetryBudget struct{ tokens float64 }

// Deposit adds n retries to the budget, up to limit.
func (b *RetryBudget) Deposit(n, limit float64) { b.tokens = min(b.tokens+n, limit) }

// TryWithdraw takes one retry out of the budget and reports whether there was room for it. A rejected retry leaves
// the budget as it was: a debt would keep a tenant out long after its storm.
func (b *RetryBudget) TryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
