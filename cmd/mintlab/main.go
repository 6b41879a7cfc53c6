// Command mintlab is the laboratory: it plays experiments on real proxies among stand-ins, and judges them.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"minttray/lab/baseline"
	"minttray/lab/experiment"
	"minttray/lab/logsum"
	"minttray/lab/report"
	"minttray/lab/run"
)

// Exit statuses.
const (
	exitPassed    = 0
	exitViolation = 1 // a rule, or a proxy crashed
	exitBadInput  = 2 // unusable input
	exitInvalid   = 3 // the run proves nothing
)

// status is an error that only says how to exit; what there is to say has been said.
type exitStatus int

func (s exitStatus) Error() string { return fmt.Sprint("status ", int(s)) }

func main() {
	root := &cobra.Command{Use: "mintlab", SilenceUsage: true, SilenceErrors: true,
		Short: "Plays experiments on real proxies among stand-in caches, origin and discovery, on loopback, and judges them.",
		Long: `mintlab starts real proxies (bin/minttray) among stand-in caches, an origin and discovery agents, sends
them open-loop load, lets things go wrong as an experiment file says, and judges from a ledger of all that
was sent and answered whether the four rules were kept.

    mintlab run experiments/calm.toml            one experiment; results under runs/
    mintlab check experiments/*.toml             what is wrong with a file, by line and field
    mintlab compare runs/A runs/B                two sets of runs side by side, on the same seeds
    mintlab logs DIR                             what a fleet's proxies counted, summed by second

Exit status: 0 rules kept, 1 a rule broken or a proxy crashed, 2 unusable input, 3 a run that proves nothing.`}
	root.AddCommand(runCommand(), worldCommand(), checkCommand(), compareCommand(), reportCommand(), judgeCommand(), soakCommand(), logsCommand(), worthCommand(), planCommand())
	if err := root.Execute(); err != nil {
		var s exitStatus
		if errors.As(err, &s) {
			os.Exit(int(s))
		}
		fmt.Fprintln(os.Stderr, "mintlab:", err)
		os.Exit(exitBadInput)
	}
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE...", Short: "Tells what is wrong with experiment files, by file, line and field.",
		Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, paths []string) error {
			bad := false
			for _, path := range paths {
				if _, err := experiment.Read(path); err != nil {
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					bad = true
				} else {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", path)
				}
			}
			if bad {
				return exitStatus(exitBadInput)
			}
			return nil
		}}
}

func runCommand() *cobra.Command {
	var out, proxy, rules, sweep string
	var seeds []uint
	var repeat, drawn, drawnFrom int
	var overrides []string
	var quiet bool
	c := &cobra.Command{Use: "run FILE...", Short: "Plays experiments.", Args: cobra.MinimumNArgs(1),
		Long: `Plays each experiment, for each rule, each value of the sweep and each seed. Each run leaves a directory
with result.json, summary.txt, plots and report.html.`,
		RunE: func(cmd *cobra.Command, paths []string) error {
			stop := stopOnSignal()
			key, values, sweeps := strings.Cut(sweep, "=")
			if sweep != "" && !sweeps {
				return fmt.Errorf("--sweep %q: key=a,b,c is wanted", sweep)
			}
			variants := []string{""}
			if sweeps {
				variants = strings.Split(values, ",")
			}
			// All files are checked before anything is started.
			type job struct {
				path, rule, variant string
				seed                uint64
				x                   *experiment.File
				drawn               uint64 // the seed of its timeline; 0: its file's own
			}
			var jobs []job
			for _, path := range paths {
				for _, variant := range variants {
					overlay := slices.Clone(overrides)
					if sweeps {
						overlay = append(overlay, key+"="+variant)
					}
					x, err := experiment.Read(path, overlay...)
					if err != nil {
						return err
					}
					first := []uint64{x.Seed}
					if len(seeds) > 0 {
						first = first[:0]
						for _, s := range seeds {
							first = append(first, uint64(s))
						}
					}
					for _, rule := range strings.Split(rules, ",") {
						if rule != "minttray" && !slices.Contains(baseline.Names, rule) {
							return fmt.Errorf("--rules: %q is none of minttray, %s", rule, strings.Join(baseline.Names, ", "))
						}
						for _, s := range first {
							for n := range repeat {
								copied := *x
								copied.Seed = s + uint64(n)
								jobs = append(jobs, job{path, rule, variant, s + uint64(n), &copied, 0})
								for k := range drawn {
									if k > 0 {
										jobs = append(jobs, jobs[len(jobs)-1])
										again := copied
										jobs[len(jobs)-1].x = &again
									}
									last := &jobs[len(jobs)-1]
									last.drawn = uint64(drawnFrom + k)
									last.x.DrawFaults(last.drawn)
								}
							}
						}
					}
				}
			}
			worst := exitPassed
			var all []*report.Result
			for _, j := range jobs {
				name := fmt.Sprintf("%s-%s-%d", j.x.Name, j.rule, j.seed)
				if j.variant != "" {
					name += "-" + strings.NewReplacer("/", "_", " ", "").Replace(key+"="+j.variant)
					j.x.Name += " " + key + "=" + j.variant
				}
				if j.drawn > 0 {
					name += fmt.Sprintf("-drawn-%d", j.drawn)
					j.x.Name += fmt.Sprintf(" drawn %d", j.drawn)
				}
				o := run.Options{Dir: filepath.Join(out, name), Command: []string{proxy}, Rule: j.rule, Stop: stop}
				if j.rule != "minttray" {
					o.Command = []string{filepath.Join(filepath.Dir(proxy), "mintbase")}
					o.Env = []string{"MINTBASE_RULE=" + j.rule}
				}
				if !quiet {
					o.Logf = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s, %v\n", j.path, name, j.x.Length.Std())
				}
				os.RemoveAll(o.Dir)
				r, err := run.Execute(j.x, o)
				if err != nil {
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", name, err)
					return exitStatus(exitInvalid)
				}
				all = append(all, r)
				fmt.Fprintf(cmd.OutOrStdout(), "%sreport: %s\n\n", r.Summary(), filepath.Join(o.Dir, "report.html"))
				if j.drawn > 0 && r.ExitStatus() == exitViolation {
					fmt.Fprintf(cmd.OutOrStdout(), "again: mintlab run %s --seeds %d --drawn 1 --drawn-from %d\n\n", j.path, j.seed, j.drawn)
				}
				if s := r.ExitStatus(); s == exitViolation || s > worst && worst != exitViolation {
					worst = s
				}
				select {
				case <-stop:
					return exitStatus(exitInvalid)
				default:
				}
			}
			if len(all) > 1 {
				fmt.Fprint(cmd.OutOrStdout(), report.Table(all))
			}
			if worst != exitPassed {
				return exitStatus(worst)
			}
			return nil
		}}
	c.Flags().StringVar(&out, "out", "runs", "directory for results, one for each run below it")
	c.Flags().StringVar(&proxy, "proxy", "bin/minttray", "the proxy's program; mintbase is looked for beside it")
	c.Flags().StringVar(&rules, "rules", "minttray", "what decides: minttray, or baselines: "+strings.Join(baseline.Names, ","))
	c.Flags().UintSliceVar(&seeds, "seeds", nil, "seeds in place of the file's")
	c.Flags().IntVar(&repeat, "repeat", 1, "runs for each seed, each with the next seed")
	c.Flags().StringVar(&sweep, "sweep", "", "key=a,b,c: a run for each value, such as load.rate=500,1000")
	c.Flags().StringArrayVar(&overrides, "set", nil, "key=value in place of what the file says; may be repeated")
	c.Flags().IntVar(&drawn, "drawn", 0, "so many runs, each with a timeline drawn from a seed of its own in place of the file's")
	c.Flags().IntVar(&drawnFrom, "drawn-from", 1, "the first of those seeds")
	c.Flags().BoolVar(&quiet, "quiet", false, "no progress")
	return c
}

// interrupted closes what it gives when the lab is told to stop.
func stopOnSignal() <-chan struct{} {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-signals; close(stop) }()
	return stop
}

func worldCommand() *cobra.Command {
	var dir string
	c := &cobra.Command{Use: "world FILE", Short: "Puts an experiment's caches, origin and discovery up, to try a proxy by hand.",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, paths []string) error {
			x, err := experiment.Read(paths[0])
			if err != nil {
				return err
			}
			return run.ServeStandIns(x, dir, func(format string, args ...any) { fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...) }, stopOnSignal())
		}}
	c.Flags().StringVar(&dir, "dir", "runs/world", "where the proxies' configurations are written")
	return c
}

func planCommand() *cobra.Command {
	seen, plans := "", ""
	c := &cobra.Command{Use: "plan FILE", Short: "Writes an experiment's deployment as minttray plan reads it.", Args: cobra.ExactArgs(1),
		Long: `Writes an experiment's deployment as minttray plan reads it. With --seen, the directory of a run of the same experiment, and
--plans, what minttray plan --json made of that file, both are set side by side.`,
		RunE: func(cmd *cobra.Command, paths []string) error {
			x, err := experiment.Read(paths[0])
			if err == nil && seen == "" {
				fmt.Fprint(cmd.OutOrStdout(), run.PlanInput(x))
			}
			if err != nil || seen == "" {
				return err
			}
			r, err := report.Read(seen)
			if err != nil {
				return err
			}
			in, err := os.Open(plans)
			if err != nil {
				return err
			}
			defer in.Close()
			return run.ComparePlan(cmd.OutOrStdout(), x, in, r)
		}}
	c.Flags().StringVar(&seen, "seen", "", "a run's directory")
	c.Flags().StringVar(&plans, "plans", "", "the plans' file")
	return c
}

func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR...", Short: "Prints the summaries of runs, and a table of them.", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			all, err := readResults(dirs)
			if err != nil {
				return err
			}
			for _, r := range all {
				fmt.Fprintln(cmd.OutOrStdout(), r.Summary())
			}
			fmt.Fprint(cmd.OutOrStdout(), report.Table(all))
			return nil
		}}
}

func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare A B", Short: "Sets two sets of runs side by side, in pairs of the same experiment and seed.",
		Long: "A and B are runs' directories, or directories of such, or patterns in quotes ('runs/*-minttray-*').",
		Args: cobra.ExactArgs(2), RunE: func(cmd *cobra.Command, sides []string) error {
			var both [2][]*report.Result
			for i, side := range sides {
				dirs, err := filepath.Glob(side)
				if err != nil || len(dirs) == 0 {
					return fmt.Errorf("%s: nothing there", side)
				}
				if _, err := os.Stat(filepath.Join(dirs[0], "result.json")); len(dirs) == 1 && err != nil {
					dirs, _ = filepath.Glob(filepath.Join(dirs[0], "*"))
				}
				if both[i], err = readResults(dirs); err != nil {
					return err
				}
			}
			fmt.Fprint(cmd.OutOrStdout(), report.Compare(both[0], both[1]))
			return nil
		}}
}

func judgeCommand() *cobra.Command {
	return &cobra.Command{Use: "judge FILE LEDGER", Short: "Judges a ledger anew, also one of a run that was cut short.", Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			x, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			from := time.Now()
			v, err := run.Judge(args[1], x, nil)
			if err != nil {
				return err
			}
			r := report.Result{Name: x.Name, Seed: x.Seed, Rule: "ledger", Verdict: v}
			fmt.Fprintf(cmd.OutOrStdout(), "%sjudged in %v; %d ops held at once; whole: %v\n", r.Summary(), time.Since(from).Round(time.Millisecond), v.MaxOpenOps, v.Complete)
			if !v.Passed() {
				return exitStatus(exitViolation)
			}
			return nil
		}}
}

func readResults(dirs []string) (all []*report.Result, err error) {
	for _, d := range dirs {
		r, err := report.Read(d)
		if err != nil {
			return nil, err
		}
		all = append(all, r)
	}
	return all, nil
}

func logsCommand() *cobra.Command {
	span, match := time.Second, ""
	c := &cobra.Command{Use: "logs DIR", Short: "Sums the counters and log lines of a fleet's proxies, by span of time.", Args: cobra.ExactArgs(1),
		Long: `Reads all DIR/*.log, one proxy's each, as written with MINTTRAY_COUNTERS=1s, with or without a time in seconds
ahead of each line, and prints what the fleet counted in each span. Lines that can't be read are counted by reason.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			sum, err := logsum.ReadDir(args[0], span)
			if err != nil {
				return err
			}
			return sum.Write(cmd.OutOrStdout(), match)
		}}
	c.Flags().DurationVar(&span, "span", span, "of one column")
	c.Flags().StringVar(&match, "match", "", "only rows whose name holds this text")
	return c
}
