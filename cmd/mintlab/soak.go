package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"minttray/lab/run"
)

func soakCommand() *cobra.Command {
	var out, proxy string
	var seeds, lanes int
	var from uint64
	var length time.Duration
	c := &cobra.Command{Use: "soak", Short: "Plays drawn deployments, timelines and faults, one for each seed, and judges each.", Args: cobra.NoArgs,
		Long: `Plays drawn runs: each seed draws a deployment (proxies, caches up to 3,200, deadlines from 60 ms to 3 s, effects, limits) and what goes
wrong in it (releases, restarts, signals in series, crowds, resets, list outages, stalls). Prints a row for each seed, and how to play a failed one again.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []uint64
			for n := range uint64(seeds) {
				all = append(all, from+n)
			}
			failed, void := 0, 0
			fmt.Fprintln(cmd.OutOrStdout(), run.SoakTableHeader)
			run.Soak(all, length, lanes, run.Options{Dir: out, Command: []string{proxy}, Rule: "minttray", Stop: stopOnSignal()}, func(r run.SoakResult) {
				fmt.Fprintln(cmd.OutOrStdout(), r)
				if r.Failed() {
					failed++
					if r.Err == nil {
						fmt.Fprintf(cmd.ErrOrStderr(), "%s", r.Result.Summary())
					}
					fmt.Fprintf(cmd.ErrOrStderr(), "again: mintlab soak --seeds 1 --from %d --length %v\n", r.Seed, length)
				}
				if r.Invalid() {
					void++
				}
			})
			fmt.Fprintf(cmd.OutOrStdout(), "\n%d seeds: %d failed, %d void\n", seeds, failed, void)
			if failed > 0 {
				return exitStatus(exitViolation)
			}
			return nil
		}}
	c.Flags().StringVar(&out, "out", "runs/soak", "directory for results, one for each seed below it")
	c.Flags().StringVar(&proxy, "proxy", "bin/minttray", "the proxy's program")
	c.Flags().IntVar(&seeds, "seeds", 50, "so many runs")
	c.Flags().Uint64Var(&from, "from", 1, "the first seed")
	c.Flags().IntVar(&lanes, "lanes", 2, "runs beside each other")
	c.Flags().DurationVar(&length, "length", 14*time.Second, "of each run")
	return c
}
