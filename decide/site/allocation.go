// Package site plans for the loss of a whole site: where its keys and its clients' ops go, which ops are shed first when the
// remaining sites lack capacity, and how the caches are brought back. All results follow from the inputs: the package reads no
// clock, draws no random numbers and does no I/O.
package site

import (
	"cmp"
	"math"
	"slices"
)

// WorkClass is a group of ops that get the same served share, such as the hits of a category within the tenants' quotas.
type WorkClass struct {
	Rate    float64 // ops per second
	Benefit float64 // of one op
	Work    float64 // core seconds that one op takes at the caches
	Fetches float64 // origin fetches that one op takes
}

// Capacity is a rate of cache work and a rate of origin fetches: those available, or those needed to serve some ops.
type Capacity struct {
	Work    float64 // core seconds per second
	Fetches float64 // per second
}

// tolerance is the relative difference up to which two values count as equal. When total benefits are compared, it is added as
// an absolute difference too, in units of benefit per second.
const tolerance = 1e-9

// Allocate returns the share of each class that is served, 0 to 1, so that the total benefit is the highest that the capacity
// allows, and the indexes of the classes in the order in which they are shed. Classes with the same benefit per cost are shed in
// the same proportion, until one of the two resources is used up. With two scarce resources the order depends on the price of a
// fetch relative to that of a core second, so it tries each price at which the order changes. The number of prices grows with
// the square of the number of classes: the function is meant for at most 64 classes, which it does not check.
func Allocate(classes []WorkClass, capacity Capacity) (served []float64, order []int) {
	best := -1.0
	for _, price := range fetchPrices(classes) {
		shares, sheddingOrder := allocateAt(price, classes, capacity)
		benefit := 0.0
		for i, c := range classes {
			benefit += shares[i] * c.Rate * c.Benefit
		}
		if benefit > best*(1+tolerance)+tolerance {
			best, served, order = benefit, shares, sheddingOrder
		}
	}
	return served, order
}

// fetchPrices returns the prices of a fetch to try, in core seconds: each at which two classes change their order, and one from
// each range between them, 0 and infinity included.
func fetchPrices(classes []WorkClass) []float64 {
	var changes []float64
	for i, a := range classes {
		for _, b := range classes[:i] {
			// Both are worth the same where a.Benefit*(b.Work+price*b.Fetches) = b.Benefit*(a.Work+price*a.Fetches).
			price := (a.Benefit*b.Work - b.Benefit*a.Work) / (b.Benefit*a.Fetches - a.Benefit*b.Fetches)
			if price > 0 && !math.IsInf(price, 0) {
				changes = append(changes, price)
			}
		}
	}
	slices.Sort(changes)
	prices := []float64{0}
	last := 0.0
	for _, price := range changes {
		prices = append(prices, (last+price)/2, price)
		last = price
	}
	return append(prices, 2*last+1, math.Inf(1))
}

// benefitPerCost returns the benefit of a class for its cost at a price of fetches. At an infinite price only fetches count,
// and a class that needs none ranks above all that do.
func benefitPerCost(c WorkClass, fetchPrice float64) float64 {
	cost := c.Work + fetchPrice*c.Fetches
	if math.IsInf(fetchPrice, 1) {
		if cost = c.Fetches; c.Fetches == 0 {
			return math.Inf(1)
		}
	}
	if cost == 0 {
		return math.Inf(1)
	}
	return c.Benefit / cost
}

// allocateAt serves the classes by falling benefit per cost until the capacity is used up. Classes of equal benefit per cost
// first get the same share; what then remains of a resource goes to those of them that can use it, in their order.
func allocateAt(fetchPrice float64, classes []WorkClass, capacity Capacity) (served []float64, sheddingOrder []int) {
	served = make([]float64, len(classes))
	order := make([]int, len(classes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, j int) int {
		return cmp.Or(cmp.Compare(benefitPerCost(classes[j], fetchPrice), benefitPerCost(classes[i], fetchPrice)),
			cmp.Compare(classes[j].Benefit, classes[i].Benefit))
	})
	for from := 0; from < len(order); {
		to := from + 1
		for value := benefitPerCost(classes[order[from]], fetchPrice); to < len(order) &&
			nearlyEqual(benefitPerCost(classes[order[to]], fetchPrice), value); to++ {
		}
		need := Capacity{}
		for _, i := range order[from:to] {
			need.Work += classes[i].Rate * classes[i].Work
			need.Fetches += classes[i].Rate * classes[i].Fetches
		}
		share := min(coverage(capacity.Work, need.Work), coverage(capacity.Fetches, need.Fetches))
		for _, i := range order[from:to] {
			served[i] = share
		}
		capacity.Work = max(capacity.Work-share*need.Work, 0)
		capacity.Fetches = max(capacity.Fetches-share*need.Fetches, 0)
		// One of the two resources may be left over: classes of the group that need no other get it, one after the other.
		for _, i := range order[from:to] {
			c := classes[i]
			extra := min(1-served[i], coverage(capacity.Work, c.Rate*c.Work), coverage(capacity.Fetches, c.Rate*c.Fetches))
			served[i] += extra
			capacity.Work = max(capacity.Work-extra*c.Rate*c.Work, 0)
			capacity.Fetches = max(capacity.Fetches-extra*c.Rate*c.Fetches, 0)
		}
		from = to
	}
	slices.Reverse(order)
	return served, order
}

func nearlyEqual(a, b float64) bool {
	return a == b || math.Abs(a-b) <= tolerance*max(math.Abs(a), math.Abs(b))
}

// coverage returns the share of a need that the available amount covers, at most 1.
func coverage(available, need float64) float64 {
	if need <= 0 {
		return 1
	}
	return min(available/need, 1)
}
