package run

import (
	"fmt"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"minttray/lab/experiment"
	"minttray/lab/report"
)

// SoakRow is what one seed of a soak came to.
type SoakRow struct {
	Seed   uint64
	X      *experiment.File
	Result *report.Result
	Err    error // there is nothing to judge
}

// Failed tells whether a rule broke, a process crashed, or nothing could be played.
func (r SoakRow) Failed() bool {
	return r.Err != nil || !r.Result.Verdict.Passed() || len(r.Result.Crashes) > 0
}

// Void tells whether the run proves nothing: the lab itself ran late.
func (r SoakRow) Void() bool { return r.Err == nil && !r.Failed() && len(r.Result.InvalidReasons) > 0 }

// Soak plays drawn runs, some beside each other, and hands on each as it ends.
func Soak(seeds []uint64, length time.Duration, lanes int, o Options, each func(SoakRow)) {
	jobs := make(chan uint64)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range lanes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range jobs {
				row := soakOne(seed, length, o)
				mu.Lock()
				each(row)
				mu.Unlock()
			}
		}()
	}
	for _, seed := range seeds {
		jobs <- seed
	}
	close(jobs)
	wait.Wait()
}

func soakOne(seed uint64, length time.Duration, o Options) SoakRow {
	row := SoakRow{Seed: seed, X: experiment.Soak(seed, length)}
	if row.Err = row.X.Check(); row.Err != nil {
		return row
	}
	o.Dir = filepath.Join(o.Dir, row.X.Name)
	row.Result, row.Err = Play(row.X, o)
	return row
}

// SoakHead is the head of a soak's table; each row is as SoakRow.String gives it.
const SoakHead = "| seed | proxies | caches | deadlines | what goes wrong | tries | served | refused | failed | broken rules |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

func (r SoakRow) String() string {
	var ttls []string
	for _, c := range r.X.Categories {
		ttls = append(ttls, c.TTL.Std().String())
	}
	var kinds []string
	for _, f := range r.X.Faults {
		kind := f.Kind
		if f.Kind == "proxy-signals" {
			kind = f.By
		}
		kinds = append(kinds, kind)
	}
	head := fmt.Sprintf("| %d | %d | %d | %s | %s |", r.Seed, r.X.Proxies.Count, r.X.Caches.Count, strings.Join(ttls, " "), strings.Join(kinds, ", "))
	if r.Err != nil {
		return fmt.Sprintf("%s not played: %v |||||", head, r.Err)
	}
	v := r.Result.Verdict
	return fmt.Sprintf("%s %d | %d | %d | %d | %s |", head, v.Ops, v.Answers["acked"], v.Answers["nacked"], v.Answers["dead-lettered"], r.broken())
}

// broken names what went wrong, or "none".
func (r SoakRow) broken() string {
	var all []string
	for rule, n := range r.Result.Verdict.Violations {
		all = append(all, fmt.Sprintf("%s %d", rule, n))
	}
	sort.Strings(all)
	if len(r.Result.Crashes) > 0 {
		all = append(all, fmt.Sprintf("crashes %d", len(r.Result.Crashes)))
	}
	for _, why := range r.Result.InvalidReasons {
		all = append(all, "void: "+why)
	}
	if len(all) == 0 {
		return "none"
	}
	return strings.Join(all, ", ")
}
