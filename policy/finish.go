package policy

import (
	"cmp"
	"slices"
)

// StreamBegan is called when the answer to an op begins to reach the client. No further push follows, and the
// outcome of its push will be terminal.
func (b *Balancer) StreamBegan(id uint32) { cmp.Or(b.ops[id], &op{}).worthwhilePushes = 0 }

// ClientLeft is called when the client no longer waits for an op.
func (b *Balancer) ClientLeft(id uint32) {
	if o := b.ops[id]; o != nil {
		b.finish(o)
	}
}

// HandBack answers an op at once because the process ends and can't wait for pushes in flight.
func (b *Balancer) HandBack(id uint32) {
	if o := b.ops[id]; o != nil && !o.finished {
		b.giveUp(o, ShuttingDown)
	}
}

// giveUp answers an op at once: with a nack where a retry is certainly safe, else as a dead letter.
func (b *Balancer) giveUp(o *op, reason GiveUpReason) {
	b.Counts.GivenUp[reason]++
	if o.category.Effect == Redeliverable || len(o.inFlight) == 0 && (o.firstExecuted == nil ||
		o.category.Effect == Deduplicated && o.category.Group == GroupAll) {
		retryAfter := b.randomBetween(o.category.Target/8, o.category.Target/4)
		if b.host.Now()+retryAfter >= o.deadline {
			retryAfter = b.MaxRetryAfter
		}
		b.host.Nack(o.id, min(retryAfter, b.MaxRetryAfter))
	} else {
		b.host.DeadLetter(o.id)
	}
	b.finish(o)
}

// finish closes an op. It stays known until its last push has ended.
func (b *Balancer) finish(o *op) {
	for _, p := range o.inFlight {
		if !o.finished && b.Cancelling {
			b.host.Cancel(o.id, p.number)
		}
	}
	if o.finished = true; len(o.inFlight) == 0 {
		delete(b.ops, o.id)
	}
	if o.queued {
		b.originQueue = slices.DeleteFunc(b.originQueue, func(queued *op) bool { return queued == o })
		o.queued = false
	}
}
