package evidence

// RetryBudget lets tries that come again in as a share of what is answered: in a storm of them, what is answered
// falls, and with it what is let in. The zero value is empty; Earn it before the first op.
type RetryBudget struct{ room float64 }

// Deposit adds to the room, up to a most.
func (b *RetryBudget) Deposit(n, most float64) { b.room = min(b.room+n, most) }

// TryWithdraw takes a try that came again, and tells whether there was room for it. One past the budget leaves it as
// it was: debts would shut a tenant out long after its storm.
func (b *RetryBudget) TryWithdraw() bool {
	if b.room < 1 {
		return false
	}
	b.room--
	return true
}
