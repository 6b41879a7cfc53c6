package main

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"minttray/lab/worth"
)

func worthCommand() *cobra.Command {
	bench := ""
	c := &cobra.Command{Use: "worth FILE SITE...", Short: "Scores the module with each mechanism taken out in turn, on a simulator",
		Long: `worth patches the module as FILE says (lab/worth/plan.toml), has the simulator build and score it on each
site, prints a row for each mechanism, and puts the source back. Run it from the root, with the source committed.`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			plan, err := worth.ReadPlan(args[0])
			if err != nil {
				return err
			}
			signals, stop := make(chan os.Signal, 1), make(chan struct{})
			signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
			go func() {
				<-signals
				close(stop)
			}()
			return plan.Run(os.Stdout, bench, args[1:], stop)
		}}
	c.Flags().StringVar(&bench, "bench", "", "the simulator's program")
	c.MarkFlagRequired("bench")
	return c
}
