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

// SoakResult is the result of one seed of a soak test.
type SoakResult struct {
	Seed       uint64
	Experiment *experiment.File
	Result     *report.Result
	Err        error // why there is nothing to judge; Result may be nil then
}

// Failed reports whether a rule was broken, a process crashed, or the run could not be executed.
func (r SoakResult) Failed() bool {
	return r.Err != nil || !r.Result.Verdict.Passed() || len(r.Result.Crashes) > 0
}

// Invalid reports whether a run without failures is no valid evidence, for example because the laboratory itself ran late.
func (r SoakResult) Invalid() bool {
	return r.Err == nil && !r.Failed() && len(r.Result.InvalidReasons) > 0
}

// Soak executes one drawn experiment for each seed, a number of them in parallel. It calls onResult at the end of each, never concurrently.
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

// runSeed executes the experiment that is drawn from a seed.
func runSeed(seed uint64, length time.Duration, o Options) SoakResult {
	result := SoakResult{Seed: seed, Experiment: experiment.Soak(seed, length)}
	if result.Err = result.Experiment.Check(); result.Err != nil {
		return result
	}
	o.Dir = filepath.Join(o.Dir, result.Experiment.Name)
	result.Result, result.Err = Execute(result.Experiment, o)
	return result
}

// SoakTableHeader is the header of a table of soak results; SoakResult.String returns a row.
const SoakTableHeader = "| seed | proxies | caches | deadlines | faults | tries | served | refused | failed | violations |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

// String returns a table row.
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
	prefix := fmt.Sprintf("| %d | %d | %d | %s | %s |",
		r.Seed, r.Experiment.Proxies.Count, r.Experiment.Caches.Count, strings.Join(ttls, " "), strings.Join(kinds, ", "))
	if r.Err != nil {
		return fmt.Sprintf("%s not run: %v |||||", prefix, r.Err)
	}
	v := r.Result.Verdict
	return fmt.Sprintf("%s %d | %d | %d | %d | %s |", prefix, v.Ops, v.Answers["acked"], v.Answers["nacked"], v.Answers["dead-lettered"], r.violations())
}

// violations lists broken rules, crashes and reasons why the run is invalid, or returns "none".
func (r SoakResult) violations() string {
	var violations []string
	for rule, count := range r.Result.Verdict.Violations {
		violations = append(violations, fmt.Sprintf("%s %d", rule, count))
	}
	sort.Strings(violations)
	if len(r.Result.Crashes) > 0 {
		violations = append(violations, fmt.Sprintf("crashes %d", len(r.Result.Crashes)))
	}
	for _, reason := range r.Result.InvalidReasons {
		violations = append(violations, "invalid: "+reason)
	}
	if len(violations) == 0 {
		return "none"
	}
	return strings.Join(violations, ", ")
}
