package policy

// OpArrived takes a new op. account is the number of its tenant, left is how long
// the client waits for this try, and again marks it as a retry.
func (b *Balancer) OpArrived(id uint32, key uint64, category, account int, write, again bool, left Time) {
	now := b.host.Now()
	category = min(category, len(b.knownCategories)-1)
	account = min(account, len(b.tenants)-1)
	rules, t := b.knownCategories[category], b.tenants[account]
	o := &op{id: id, key: key, category: rules, tenant: t, write: write, deadline: now + left - b.Tick, maxPushes: b.MostPushes}
	b.ops[id] = o
	// Waits are learned by tenant: one tenant's clients that turn to short waits must not make the others' tries
	// look like retries.
	firstTryWait, spent := b.firstTryWaits[[2]int{category, account}], Time(0)
	if b.MarksRetry && !again {
		firstTryWait.Set(left)
	} else if b.MarksRetry && !firstTryWait.Matches(left, rules.TTL/64) || !b.MarksRetry && !firstTryWait.ObserveFirstTry(left, rules.TTL/64) {
		spent = max(rules.TTL-left, 0) // a last try, with all that is left of the TTL
	}
	if rules.Tardy == 0 && rules.Effect == Redeliverable {
		o.deadline = min(now+rules.Target-spent-2*b.Tick, o.deadline)
	}
	b.firstTryWaits[[2]int{category, account}] = firstTryWait
	if o.pushDeadline = o.deadline; rules.Tardy == 0 {
		o.pushDeadline = min(o.deadline, now+rules.Target)
	}
	o.worthwhilePushes = min(2+int(rules.Benefit/b.maxBenefit+0.5), b.MostPushes)
	o.limitShare = 1 - 0.2*(1-rules.Benefit/b.maxBenefit)
	if t.tokens--; t.tokens < 0 {
		t.tokens++
		o.quotaPenalty = 1 - b.BeyondBenefit
	}
	b.refusalOrder.Observe(category, o.quotaPenalty > 0, rules.Benefit*(1-o.quotaPenalty))
	// Retries beyond the budget, and ops that an answer hardly reaches in time, only use capacity that others leave.
	overBudget, answerChance := again && !t.retryBudget.TryWithdraw(), 1.0
	if b.fleetTotal.latencies.HasEnoughSamples() {
		answerChance = b.fleetTotal.latencies.ShareWithin(b.inTicks(o.deadline - now))
	}
	if o.limitShare *= min(2*answerChance, 1); overBudget {
		o.limitShare /= 2
		b.Counts.RetriesOverBudget++
	}
	if key == 0 {
		o.key = uint64(b.random.Next())<<32 | uint64(b.random.Next())
	}
	// While the origin has capacity to fill another copy, a key counts as hot on little evidence. With many proxies
	// each sees too little of a key for that.
	o.popularity = b.hotKeys.Observe(o.key, b.origin != nil && b.origin.Limit >= 0.5 && b.Proxies <= initialFleetLimit)
	if o.deadline <= now || answerChance < minAnswerChance {
		b.Counts.DeadlineTooShort++
		b.giveUp(o, UnlikelyInTime)
	} else if overBudget && b.overload > overloadNoise {
		b.giveUp(o, RetryBudgetExceeded)
	} else if share := b.overloadGate.AdmittedShare(); share < 1 &&
		b.random.Float64() > b.refusalOrder.AdmitShare(category, o.quotaPenalty > 0, share) {
		b.overloadGate.ObserveRefusal()
		b.giveUp(o, FleetOverloaded)
	} else if b.Aside && write {
		b.sendToOrigin(o)
	} else {
		b.sendToCache(o)
	}
}
