package evidence

// OutcomeCounts counts answers and failures for each kind of work. A server that fails one kind of work and serves
// the others shows nothing of it in its totals. The zero value is empty.
type OutcomeCounts[K comparable] struct {
	counts map[K][2]float64 // answers, and weighted failures
}

// Add counts answers, and failures weighted by how much they prove.
func (c *OutcomeCounts[K]) Add(kind K, good, bad float64) {
	if c.counts == nil {
		c.counts = map[K][2]float64{}
	}
	count := c.counts[kind]
	c.counts[kind] = [2]float64{count[0] + good, count[1] + bad}
}

// Decay multiplies all counts by a factor from 0 to 1.
func (c *OutcomeCounts[K]) Decay(factor float64) {
	for kind, count := range c.counts {
		c.counts[kind] = [2]float64{count[0] * factor, count[1] * factor}
	}
}

// IsOutlier reports whether a kind of work fails at this server far more often than at all servers taken together. At
// least three failures are needed, to rule out chance. The verdict lapses as the counts decay, so that the kind is
// tried again.
func (c *OutcomeCounts[K]) IsOutlier(total *OutcomeCounts[K], kind K) bool {
	count := c.counts[kind]
	if count[1] < 3 {
		return false
	}
	sum := total.counts[kind]
	return count[1]/(count[0]+count[1]) > 1.5*sum[1]/(sum[0]+sum[1])+0.2
}
