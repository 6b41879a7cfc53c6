package site

import (
	"errors"
	"fmt"
	"math"

	"minttray/decide/circle"
)

// Category is a kind of op.
type Category struct {
	Name            string
	Share           float64 // of all ops, 0 to 1
	Benefit         float64 // of one op that is answered in time
	Work            float64 // core seconds that a hit takes at a cache
	Write           bool    // each op goes to the origin, whether or not the key is cached
	OverQuotaShare  float64 // share of its ops that are beyond their tenants' quotas
	OverQuotaFactor float64 // factor on the benefit of such an op
}

// Cache is one cache as discovery lists it.
type Cache struct {
	ID          uint64
	Site        int     // index in Deployment.Sites
	Weight      float64 // share of keys relative to other caches
	Cores       float64 // core seconds of work per second
	KeyCapacity float64 // number of keys that it holds
}

// Site is a place with caches, proxies and clients.
type Site struct {
	Name    string
	OpRate  float64 // ops per second of its clients
	Proxies int
}

// Contract is what the caches guarantee about cold starts and overload.
type Contract struct {
	ColdFrom     float64 // share of its capacity, 0 to 1, that a cache has at its start
	WarmUp       float64 // seconds from its start until it has its whole capacity
	FallMultiple float64 // load, as a multiple of its current capacity, at which a cache fails after TipAfter
	TipAfter     float64 // seconds
}

// Deployment is the input of a plan.
type Deployment struct {
	Sites      []Site
	Caches     []Cache
	Categories []Category
	Contract
	OriginSite    int     // index in Sites
	OriginFetches float64 // per second that the origin can serve
	MissWorkRatio float64 // work of a miss at a cache as a multiple of that of a hit
	HitRatio      float64 // share of reads that hit with all caches present and warm
	KeyCount      float64
	ZipfExponent  float64 // of the keys' popularity
	ZipfOffset    float64 // added to each rank: about so many of the most popular keys are equally popular
	UsableShare   float64 // share of the caches' cores that a plan may use, 0.01 to 1
}

// Limits of the input, and of the search for a placement.
const (
	maxSites      = 64
	maxCaches     = 4096
	maxCategories = 16

	sampleKeys = 1 << 14 // keys that are placed to estimate where all go
	// The proxies' circle has the same initial number of buckets and the same minimum, so that keys get the same caches.
	initialBuckets = 4
	minBuckets     = 1024
	saltsPerBucket = 64    // salts that are tried for a key, for each bucket of the circle
	minDivisor     = 1e-12 // keeps quotients of shares finite
)

// Check returns an error that names each value out of range.
func (d *Deployment) Check() error {
	check := func(name string, v, low, high float64) error {
		if !(v >= low && v <= high) {
			return fmt.Errorf("%s: %v is not %v to %v", name, v, low, high)
		}
		return nil
	}
	err := errors.Join(
		check("sites", float64(len(d.Sites)), 1, maxSites),
		check("caches", float64(len(d.Caches)), 1, maxCaches),
		check("categories", float64(len(d.Categories)), 1, maxCategories),
		check("origin.fetches", d.OriginFetches, 0, 1e9),
		check("origin.site", float64(d.OriginSite), 0, float64(len(d.Sites)-1)),
		check("hits", d.HitRatio, 0, 1),
		check("keys.count", d.KeyCount, 1, 1e12),
		check("keys.zipf", d.ZipfExponent, 0, 10),
		check("keys.flat", d.ZipfOffset, 0, 1e9),
		check("full", d.UsableShare, 0.01, 1),
		check("cold.from", d.ColdFrom, 0, 1),
		check("cold.warm_up", d.WarmUp, 0, 1e6),
		check("cold.fall_multiple", d.FallMultiple, 0, 1e3))
	for _, s := range d.Sites {
		err = errors.Join(err,
			check("ops of "+s.Name, s.OpRate, 0, 1e9),
			check("proxies of "+s.Name, float64(s.Proxies), 0, 1e6))
	}
	shares := 0.0
	for _, c := range d.Categories {
		err = errors.Join(err,
			check("share of "+c.Name, c.Share, 0, 1),
			check("benefit of "+c.Name, c.Benefit, 0, 1e9),
			check("work of "+c.Name, c.Work, 0, 1e6))
		shares += c.Share
	}
	for _, c := range d.Caches {
		err = errors.Join(err,
			check("site of a cache", float64(c.Site), 0, float64(len(d.Sites)-1)),
			check("weight of a cache", c.Weight, 1e-9, 1e9),
			check("work of a cache", c.Cores, 0, 1e9),
			check("keys of a cache", c.KeyCapacity, 0, 1e12))
	}
	return errors.Join(err, check("the categories' shares together", shares, 0.999, 1.001))
}

// place returns the first-choice cache of each sample key and the share of keys of each cache, by the placement of the proxies.
func place(caches []Cache) (cacheOf []int, shares []float64) {
	buckets, maxWeight := minBuckets, 0.0
	for buckets < 2*len(caches) {
		buckets *= 2
	}
	ring, owners := circle.New(initialBuckets, buckets), make([]int, buckets)
	for i := range owners {
		owners[i] = -1
	}
	for i, cache := range caches {
		owners[circle.AssignBucket(cache.ID, buckets, func(bucket int) bool { return owners[bucket] < 0 })] = i
		maxWeight = max(maxWeight, cache.Weight)
	}
	cacheOf, shares = make([]int, sampleKeys), make([]float64, len(caches))
	for n := range cacheOf {
		key := circle.Mix(uint64(n), 1)
		for salt := uint64(0); ; salt++ {
			// A bucket's cache accepts a key with a probability in proportion to its weight.
			i := owners[ring.BucketFor(key, salt)]
			if i >= 0 && float64(circle.Mix(key, ^salt)>>32) < caches[i].Weight/maxWeight*(1<<32) || salt > saltsPerBucket*uint64(buckets) {
				cacheOf[n] = max(i, 0)
				break
			}
		}
		shares[cacheOf[n]] += 1.0 / sampleKeys
	}
	return cacheOf, shares
}

// TopKeysShare returns the share of all ops that ask for the n most popular keys.
func (d *Deployment) TopKeysShare(n float64) float64 {
	return d.powerSum(min(max(n, 0), d.KeyCount), d.ZipfExponent) / d.powerSum(d.KeyCount, d.ZipfExponent)
}

// powerSum returns the sum of (k+ZipfOffset)^-exponent for k from 1 to n, approximated by its integral.
func (d *Deployment) powerSum(n, exponent float64) float64 {
	f := d.ZipfOffset + 0.5
	if math.Abs(exponent-1) < 1e-9 {
		return math.Log((n + f) / f)
	}
	return (math.Pow(n+f, 1-exponent) - math.Pow(f, 1-exponent)) / (1 - exponent)
}

// squaredPopularity returns the sum of the squared popularity of the keys between two ranks.
func (d *Deployment) squaredPopularity(from, to float64) float64 {
	total := d.powerSum(d.KeyCount, d.ZipfExponent)
	return max(d.powerSum(to, 2*d.ZipfExponent)-d.powerSum(from, 2*d.ZipfExponent), 0) / max(total*total, minDivisor)
}

// hitRatio returns the share of reads that hit when the remaining caches hold capacity keys, scaled from the known share with
// the total capacity.
func (d *Deployment) hitRatio(capacity, total float64) float64 {
	if total <= 0 || capacity >= total {
		return d.HitRatio
	}
	return d.HitRatio * d.TopKeysShare(capacity) / max(d.TopKeysShare(total), minDivisor)
}
