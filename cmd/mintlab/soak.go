package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"minttray/lab/run"
)

// soakCommand runs soak tests: random experiments.
func soakCommand() *cobra.Command {
	var outDir, proxy string
	var seeds, parallel int
	var from uint64
	var length time.Duration
	command := &cobra.Command{
		Use:   "soak",
		Short: "Runs random deployments and faults, one experiment for each seed, and judges them.",
		Args:  cobra.NoArgs,
		Long: `Runs random experiments. Each seed draws a deployment (proxies, up to 3,200 caches, deadlines from 60 ms to 3 s, effects, limits) and its
faults (releases, restarts, series of signals, idle connections, resets, discovery outages, stalls). Prints a table row for each seed, and the
command that repeats a failed one.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var seedList []uint64
			for n := range uint64(seeds) {
				seedList = append(seedList, from+n)
			}
			failed, invalid := 0, 0
			fmt.Fprintln(cmd.OutOrStdout(), run.SoakTableHeader)
			options := run.Options{Dir: outDir, Command: []string{proxy}, Rule: "minttray", Stop: stopOnSignal()}
			run.Soak(seedList, length, parallel, options, func(result run.SoakResult) {
				fmt.Fprintln(cmd.OutOrStdout(), result)
				if result.Failed() {
					failed++
					if result.Err == nil {
						fmt.Fprintf(cmd.ErrOrStderr(), "%s", result.Result.Summary())
					}
					fmt.Fprintf(cmd.ErrOrStderr(), "repeat with: mintlab soak --seeds 1 --from %d --length %v\n", result.Seed, length)
				}
				if result.Invalid() {
					invalid++
				}
			})
			fmt.Fprintf(cmd.OutOrStdout(), "\n%d seeds: %d failed, %d invalid\n", seeds, failed, invalid)
			if failed > 0 {
				return exitStatus(exitViolation)
			}
			return nil
		},
	}
	command.Flags().StringVar(&outDir, "out", "runs/soak", "directory of the results, with a subdirectory for each seed")
	command.Flags().StringVar(&proxy, "proxy", "bin/minttray", "program of the proxy")
	command.Flags().IntVar(&seeds, "seeds", 50, "number of runs")
	command.Flags().Uint64Var(&from, "from", 1, "first seed")
	command.Flags().IntVar(&parallel, "lanes", 2, "runs in parallel")
	command.Flags().DurationVar(&length, "length", 14*time.Second, "length of each run")
	return command
}
