package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"minttray/lab/worth"
)

// worthCommand scores the module without each of its mechanisms.
func worthCommand() *cobra.Command {
	var bench string
	command := &cobra.Command{
		Use:   "worth FILE SITE...",
		Short: "Scores the module without each of its mechanisms in turn, on a simulator.",
		Long: `worth applies the patches of FILE (lab/worth/plan.toml) to the module in turn, has the simulator build and score it on
each site, prints a row for each mechanism, and restores the source. Run it from the root, with the source committed.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			plan, err := worth.ReadPlan(args[0])
			if err != nil {
				return err
			}
			signals := make(chan os.Signal, 1)
			stop := make(chan struct{})
			signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
			go func() {
				<-signals
				close(stop)
			}()
			return plan.Run(os.Stdout, bench, args[1:], stop)
		},
	}
	command.Flags().StringVar(&bench, "bench", "", "program of the simulator")
	command.MarkFlagRequired("bench")
	return command
}
