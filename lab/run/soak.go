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
type SoakResult struct {
	Seed       uint64
	Experiment *experiment.File
	Result     *report.Result
	Err        error // there is nothing to judge
}

// Failed tells whether a rule broke, a process crashed, or nothing could be played.
func (r SoakResult) Failed() bool {
	return r.Err != nil || !r.Result.Verdict.Passed() || len(r.Result.Crashes) > 0
}

// Void tells whether the run proves nothing: the lab itself ran late.
func (r SoakResult) Invalid() bool {
	return r.Err == nil && !r.Failed() && len(r.Result.InvalidReasons) > 0
}

// Soak plays drawn runs, some beside each other, and hands on each as it ends.
func Soak(seeds []uint64, length time.Duration, parallel int, o Options, onResult func(SoakResult)) {
	jobs := make(chan uint64)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range parallel {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range jobs {
				result := runSeed(seed, length, o)
				mu.Lock()
				onResult(result)
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

func runSeed(seed uint64, length time.Duration, o Options) SoakResult {
	result := SoakResult{Seed: seed, Experiment: experiment.Soak(seed, length)}
	if result.Err = result.Experiment.Check(); result.Err != nil {
		return result
	}
	o.Dir = filepath.Join(o.Dir, result.Experiment.Name)
	result.Result, result.Err = Execute(result.Experiment, o)
	return result
}

// SoakHead is the head of a soak's table; each row is as SoakRow.String gives it.
const SoakTableHeader = "| seed | proxies | caches | deadlines | what goes wrong | tries | served | refused | failed | broken rules |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

func (r SoakResult) String() string {
	var ttls []string
	for _, c := range r.Experiment.Categories {
		ttls = append(ttls, c.TTL.Std().String())
	}
	var kinds []string
	for _, f := range r.Experiment.Faults {
		kind := f.Kind
		if f.Kind == "proxy-signals" {
			kind = f.Mode
		}
		kinds = append(kinds, kind)
	}
	prefix := fmt.Sprintf("| %d | %d | %d | %s | %s |", r.Seed, r.Experiment.Proxies.Count, r.Experiment.Caches.Count, strings.Join(ttls, " "), strings.Join(kinds, ", "))
	if r.Err != nil {
		return fmt.Sprintf("%s not played: %v |||||", prefix, r.Err)
	}
	v := r.Result.Verdict
	return fmt.Sprintf("%s %d | %d | %d | %d | %s |", prefix, v.Ops, v.Answers["acked"], v.Answers["nacked"], v.Answers["dead-lettered"], r.violations())
}

// broken names what went wrong, or "none".
func (r SoakResult) violations() string {
	var violations []string
	for rule, n := range r.Result.Verdict.Violations {
		violations = append(violations, fmt.Sprintf("%s %d", rule, n))
	}
	sort.Strings(violations)
	if len(r.Result.Crashes) > 0 {
		violations = append(violations, fmt.Sprintf("crashes %d", len(r.Result.Crashes)))
	}
	for _, reason := range r.Result.InvalidReasons {
		violations = append(violations, "void: "+reason)
	}
	if len(violations) == 0 {
		return "none"
	}
	return strings.Join(violations, ", ")
}
