// Command mintlab is the laboratory: it runs experiments with real proxies and stand-ins for all other servers, and judges the results.
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
	exitViolation = 1 // a rule was broken or a proxy crashed
	exitBadInput  = 2 // unusable arguments or files
	exitInvalid   = 3 // a run failed, was stopped, or is no valid evidence
)

// exitStatus is an error that carries the exit status alone; the message has been printed already.
type exitStatus int

// Error implements error.
func (s exitStatus) Error() string { return fmt.Sprint("status ", int(s)) }

func main() {
	root := &cobra.Command{
		Use:           "mintlab",
		SilenceUsage:  true,
		SilenceErrors: true,
		Short:         "Runs experiments with real proxies and stand-in caches, origin and discovery on loopback, and judges them.",
		Long: `mintlab starts real proxies (bin/minttray) with stand-in caches, an origin and discovery agents, sends
them open-loop load, injects the faults of an experiment file, and judges from a ledger of all requests
and answers whether the routing rules were kept: on answers, repeated pushes, leaving and cold caches,
and deadlines.

    mintlab run experiments/calm.toml            run one experiment; results under runs/
    mintlab check experiments/*.toml             report errors in files, by line and field
    mintlab compare runs/A runs/B                compare two sets of runs with the same seeds
    mintlab logs DIR                             sum the counters of a fleet's proxies by time interval
    mintlab world FILE                           run caches, origin and discovery alone, to try a proxy by hand
    mintlab soak                                 run random deployments and faults, one for each seed
    mintlab plan FILE                            write the input of minttray plan, or compare a plan with a run
    mintlab report DIR...                        print the summaries of runs and a table of them
    mintlab judge FILE LEDGER                    judge the ledger of a run again
    mintlab worth FILE SITE...                   score the module without each of its mechanisms in turn

Exit status: 0 rules kept, 1 a rule broken or a proxy crashed, 2 unusable arguments or files, 3 a run that failed,
was stopped, or is no valid evidence.`,
	}
	root.AddCommand(
		runCommand(),
		worldCommand(),
		checkCommand(),
		compareCommand(),
		reportCommand(),
		judgeCommand(),
		soakCommand(),
		logsCommand(),
		worthCommand(),
		planCommand(),
	)
	if err := root.Execute(); err != nil {
		var s exitStatus
		if errors.As(err, &s) {
			os.Exit(int(s))
		}
		fmt.Fprintln(os.Stderr, "mintlab:", err)
		os.Exit(exitBadInput)
	}
}

// checkCommand checks experiment files.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Reports errors in experiment files, by file, line and field.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			bad := false
			for _, path := range paths {
				if _, err := experiment.Read(path); err != nil {
					fmt.Fprintln(cmd.ErrOrStderr(), err)
					bad = true
				} else {
					fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", path)
				}
			}
			if bad {
				return exitStatus(exitBadInput)
			}
			return nil
		},
	}
}

// runCommand runs experiments.
func runCommand() *cobra.Command {
	var outDir, proxy, rules, sweep string
	var seeds []uint
	var repeat, drawn, drawnFrom int
	var overrides []string
	var quiet bool
	command := &cobra.Command{
		Use:   "run FILE...",
		Short: "Runs experiments.",
		Args:  cobra.MinimumNArgs(1),
		Long: `Runs each experiment for each decision rule, each value of the sweep and each seed. Each run writes a directory
with result.json, summary.txt, plots and report.html.`,
		RunE: func(cmd *cobra.Command, paths []string) error {
			stop := stopOnSignal()
			key, values, sweeps := strings.Cut(sweep, "=")
			if sweep != "" && !sweeps {
				return fmt.Errorf("--sweep %q: want key=a,b,c", sweep)
			}
			variants := []string{""}
			if sweeps {
				variants = strings.Split(values, ",")
			}
			// All files are checked before the first run starts.
			type job struct {
				path         string
				rule         string
				variant      string // value of the swept field; empty: none
				seed         uint64
				exp          *experiment.File
				timelineSeed uint64 // seed of the drawn timeline; 0: that of the file, or drawn with seed 0
			}
			var jobs []job
			for _, path := range paths {
				for _, variant := range variants {
					overlay := slices.Clone(overrides)
					if sweeps {
						overlay = append(overlay, key+"="+variant)
					}
					exp, err := experiment.Read(path, overlay...)
					if err != nil {
						return err
					}
					runSeeds := []uint64{exp.Seed}
					if len(seeds) > 0 {
						runSeeds = runSeeds[:0]
						for _, s := range seeds {
							runSeeds = append(runSeeds, uint64(s))
						}
					}
					for _, rule := range strings.Split(rules, ",") {
						if rule != "minttray" && !slices.Contains(baseline.Names, rule) {
							return fmt.Errorf("--rules: %q is none of minttray, %s", rule, strings.Join(baseline.Names, ", "))
						}
						for _, s := range runSeeds {
							for n := range repeat {
								copied := *exp
								copied.Seed = s + uint64(n)
								jobs = append(jobs, job{path: path, rule: rule, variant: variant, seed: s + uint64(n), exp: &copied})
								for k := range drawn {
									if k > 0 {
										jobs = append(jobs, jobs[len(jobs)-1])
										redrawn := copied
										jobs[len(jobs)-1].exp = &redrawn
									}
									last := &jobs[len(jobs)-1]
									last.timelineSeed = uint64(drawnFrom + k)
									last.exp.DrawFaults(last.timelineSeed)
								}
							}
						}
					}
				}
			}
			worst := exitPassed
			var results []*report.Result
			for _, j := range jobs {
				name := fmt.Sprintf("%s-%s-%d", j.exp.Name, j.rule, j.seed)
				if j.variant != "" {
					name += "-" + strings.NewReplacer("/", "_", " ", "").Replace(key+"="+j.variant)
					j.exp.Name += " " + key + "=" + j.variant
				}
				if j.timelineSeed > 0 {
					name += fmt.Sprintf("-drawn-%d", j.timelineSeed)
					j.exp.Name += fmt.Sprintf(" drawn %d", j.timelineSeed)
				}
				options := run.Options{Dir: filepath.Join(outDir, name), Command: []string{proxy}, Rule: j.rule, Stop: stop}
				if j.rule != "minttray" {
					options.Command = []string{filepath.Join(filepath.Dir(proxy), "mintbase")}
					options.Env = []string{"MINTBASE_RULE=" + j.rule}
				}
				if !quiet {
					options.Logf = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %s, %v\n", j.path, name, j.exp.Length.Std())
				}
				os.RemoveAll(options.Dir)
				result, err := run.Execute(j.exp, options)
				if err != nil {
					fmt.Fprintf(cmd.ErrOrStderr(), "%s: %v\n", name, err)
					return exitStatus(exitInvalid)
				}
				results = append(results, result)
				fmt.Fprintf(cmd.OutOrStdout(), "%sreport: %s\n\n", result.Summary(), filepath.Join(options.Dir, "report.html"))
				if j.timelineSeed > 0 && result.ExitStatus() == exitViolation {
					fmt.Fprintf(cmd.OutOrStdout(), "repeat with: mintlab run %s --seeds %d --drawn 1 --drawn-from %d\n\n", j.path, j.seed, j.timelineSeed)
				}
				// A violation outranks all other statuses.
				if s := result.ExitStatus(); s == exitViolation || s > worst && worst != exitViolation {
					worst = s
				}
				select {
				case <-stop:
					return exitStatus(exitInvalid)
				default:
				}
			}
			if len(results) > 1 {
				fmt.Fprint(cmd.OutOrStdout(), report.Table(results))
			}
			if worst != exitPassed {
				return exitStatus(worst)
			}
			return nil
		},
	}
	command.Flags().StringVar(&outDir, "out", "runs", "directory of the results, with a subdirectory for each run")
	command.Flags().StringVar(&proxy, "proxy", "bin/minttray", "program of the proxy; mintbase, which runs the baselines, is expected in the same directory")
	command.Flags().StringVar(&rules, "rules", "minttray", "decision rules: minttray, or baselines: "+strings.Join(baseline.Names, ","))
	command.Flags().UintSliceVar(&seeds, "seeds", nil, "seeds that replace the file's")
	command.Flags().IntVar(&repeat, "repeat", 1, "runs for each seed, with consecutive seeds")
	command.Flags().StringVar(&sweep, "sweep", "", "key=a,b,c: one run for each value, such as load.rate=500,1000")
	command.Flags().StringArrayVar(&overrides, "set", nil, "key=value that overrides a field of the file; may be repeated")
	command.Flags().IntVar(&drawn, "drawn", 0, "runs for each seed, each with a random timeline of faults in place of the file's; their seeds start at --drawn-from")
	command.Flags().IntVar(&drawnFrom, "drawn-from", 1, "seed of the first drawn timeline")
	command.Flags().BoolVar(&quiet, "quiet", false, "print no progress")
	return command
}

// stopOnSignal returns a channel that is closed at the first SIGINT or SIGTERM.
func stopOnSignal() <-chan struct{} {
	stop := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

// worldCommand runs the stand-ins of an experiment alone.
func worldCommand() *cobra.Command {
	var dir string
	command := &cobra.Command{
		Use:   "world FILE",
		Short: "Runs an experiment's caches, origin and discovery without load, to try a proxy by hand.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			exp, err := experiment.Read(paths[0])
			if err != nil {
				return err
			}
			logf := func(format string, args ...any) { fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...) }
			return run.ServeStandIns(exp, dir, logf, stopOnSignal())
		},
	}
	command.Flags().StringVar(&dir, "dir", "runs/world", "directory of the proxies' configurations")
	return command
}

// planCommand writes the input of minttray plan, or compares its output with a run.
func planCommand() *cobra.Command {
	var runDir, plansPath string
	command := &cobra.Command{
		Use:   "plan FILE",
		Short: "Writes an experiment's deployment as input of minttray plan, or compares a plan with a run.",
		Args:  cobra.ExactArgs(1),
		Long: `Writes an experiment's deployment as input of minttray plan. With --seen, the directory of a run of the same experiment, and
--plans, the output of minttray plan --json for that input, it compares the plan with the run.`,
		RunE: func(cmd *cobra.Command, paths []string) error {
			exp, err := experiment.Read(paths[0])
			if err == nil && runDir == "" {
				fmt.Fprint(cmd.OutOrStdout(), run.PlanInput(exp))
			}
			if err != nil || runDir == "" {
				return err
			}
			result, err := report.Read(runDir)
			if err != nil {
				return err
			}
			in, err := os.Open(plansPath)
			if err != nil {
				return err
			}
			defer in.Close()
			return run.ComparePlan(cmd.OutOrStdout(), exp, in, result)
		},
	}
	command.Flags().StringVar(&runDir, "seen", "", "directory of a run")
	command.Flags().StringVar(&plansPath, "plans", "", "output of minttray plan --json")
	return command
}

// reportCommand prints the results of runs.
func reportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "report DIR...",
		Short: "Prints the summaries of runs and a table of them.",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			results, err := readResults(dirs)
			if err != nil {
				return err
			}
			for _, r := range results {
				fmt.Fprintln(cmd.OutOrStdout(), r.Summary())
			}
			fmt.Fprint(cmd.OutOrStdout(), report.Table(results))
			return nil
		},
	}
}

// compareCommand compares two sets of runs.
func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compare A B",
		Short: "Compares two sets of runs, in pairs of the same experiment and seed.",
		Long:  "A and B are directories of a run, directories that hold those of several runs, or quoted patterns ('runs/*-minttray-*').",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, sides []string) error {
			var both [2][]*report.Result
			for i, side := range sides {
				dirs, err := filepath.Glob(side)
				if err != nil || len(dirs) == 0 {
					return fmt.Errorf("%s: no directory matches, or the pattern is malformed", side)
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
		},
	}
}

// judgeCommand judges the ledger of a run again.
func judgeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "judge FILE LEDGER",
		Short: "Judges a ledger again, complete or of an interrupted run.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			exp, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			started := time.Now()
			verdict, err := run.Judge(args[1], exp, nil)
			if err != nil {
				return err
			}
			result := report.Result{Name: exp.Name, Seed: exp.Seed, Rule: "ledger", Verdict: verdict}
			fmt.Fprintf(cmd.OutOrStdout(), "%sjudged in %v; at most %d ops open at once; complete: %v\n",
				result.Summary(), time.Since(started).Round(time.Millisecond), verdict.MaxOpenOps, verdict.Complete)
			if !verdict.Passed() {
				return exitStatus(exitViolation)
			}
			return nil
		},
	}
}

// readResults reads the results of run directories.
func readResults(dirs []string) (results []*report.Result, err error) {
	for _, d := range dirs {
		r, err := report.Read(d)
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}

// logsCommand sums the logs of a fleet.
func logsCommand() *cobra.Command {
	span, match := time.Second, ""
	command := &cobra.Command{
		Use:   "logs DIR",
		Short: "Sums the counters and log lines of a fleet's proxies by time interval.",
		Args:  cobra.ExactArgs(1),
		Long: `Reads all DIR/*.log, one for each proxy, as written with MINTTRAY_COUNTERS=1s, with or without a time in seconds
before each line, and prints the sums of each interval. Lines that cannot be parsed are counted by reason.`,
		RunE: func(cmd *cobra.Command, args []string) error {
			sum, err := logsum.ReadDir(args[0], span)
			if err != nil {
				return err
			}
			return sum.Write(cmd.OutOrStdout(), match)
		},
	}
	command.Flags().DurationVar(&span, "span", span, "length of the time interval of each column")
	command.Flags().StringVar(&match, "match", "", "print only rows whose name contains this text")
	return command
}
