// Command minttray is one proxy of a fleet of cache servers.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/spf13/cobra"

	"minttray/decide/site"
	"minttray/internal/config"
	"minttray/internal/daemon"
	"minttray/internal/operators"
	"minttray/internal/plan"
	"minttray/policy"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "minttray:", err)
		if errors.Is(err, errShort) {
			os.Exit(3)
		}
		os.Exit(1)
	}
}

// errShort is a loss that the rest can't bear whole.
var errShort = errors.New("a loss can't be borne")

func root() *cobra.Command {
	file := ""
	serve := func(*cobra.Command, []string) error {
		return daemon.Main(func(s policy.Settings, seed uint64, h policy.Host) daemon.Module { return policy.New(s, seed, h) }, file)
	}
	root := &cobra.Command{Use: "minttray", Short: "One proxy of a fleet of cache servers.", SilenceUsage: true, SilenceErrors: true,
		Args: cobra.NoArgs, RunE: serve}
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&file, "operators", "", "the operators' file (or MINTTRAY_OPERATORS)")
	root.AddCommand(
		&cobra.Command{Use: "serve", Short: "Serves until SIGTERM; what is done without a command.", Args: cobra.NoArgs, RunE: serve},
		&cobra.Command{Use: "check FILE...", Short: "Tells what is wrong with operators' files (.toml) and configurations, by field.",
			Args: cobra.MinimumNArgs(1), RunE: func(cmd *cobra.Command, paths []string) error {
				for _, path := range paths {
					if err := check(path); err != nil {
						return err
					}
					fmt.Fprintln(cmd.OutOrStdout(), path+": fine")
				}
				return nil
			}},
		planCommand(),
		&cobra.Command{Use: "version", Short: "Tells what this was built from.", Args: cobra.NoArgs, Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), version())
		}})
	return root
}

func planCommand() *cobra.Command {
	var lose []string
	asJSON := false
	c := &cobra.Command{Use: "plan FILE", Args: cobra.ExactArgs(1),
		Short: "Tells what the loss of each site, of each pair and of each site's ways comes to; status 3 if one can't be borne.",
		RunE: func(cmd *cobra.Command, paths []string) error {
			d, err := plan.Read(paths[0])
			if err != nil {
				return err
			}
			losses, err := plan.Losses(d, lose)
			if err != nil {
				return err
			}
			var plans []site.Plan
			short := ""
			for _, l := range losses {
				p := d.For(l)
				if plans = append(plans, p); !plan.FullyServed(p) && short == "" {
					for _, f := range p.Phases {
						if len(f.Shortages) > 0 {
							short = plan.Title(p) + ", " + f.Name + ": " + f.Shortages[0]
						}
					}
				}
			}
			if asJSON {
				err = plan.WriteJSON(cmd.OutOrStdout(), plans)
			} else {
				plan.WriteText(cmd.OutOrStdout(), d, plans)
			}
			if err == nil && short != "" {
				err = fmt.Errorf("%w: %s", errShort, short)
			}
			return err
		}}
	c.Flags().StringSliceVar(&lose, "lose", nil, "the sites that are lost together, in place of all cases")
	c.Flags().BoolVar(&asJSON, "json", false, "for machines")
	return c
}

func check(path string) error {
	if filepath.Ext(path) == ".toml" {
		_, err := operators.Read(path)
		return err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if _, err := config.Parse(path, text, os.Getenv); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "minttray, built without a word of what from"
	}
	text := "minttray " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			text += " " + s.Key + "=" + s.Value
		}
	}
	return text + " " + info.GoVersion
}
