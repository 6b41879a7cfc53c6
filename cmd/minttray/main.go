// Command minttray runs one proxy of a fleet of cache servers, and checks its files and plans for the loss of sites.
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

// Exit statuses other than 0.
const (
	exitError    = 1
	exitShortage = 3 // of plan: a loss leaves too little capacity
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "minttray:", err)
		if errors.Is(err, errShortage) {
			os.Exit(exitShortage)
		}
		os.Exit(exitError)
	}
}

// errShortage is returned by plan when the remaining sites can't serve all ops after a loss.
var errShortage = errors.New("not all ops can be served after a loss")

func newRootCommand() *cobra.Command {
	operatorsFile := ""
	serve := func(*cobra.Command, []string) error {
		newModule := func(s policy.Settings, seed uint64, h policy.Host) daemon.Module { return policy.New(s, seed, h) }
		return daemon.Main(newModule, operatorsFile)
	}
	root := &cobra.Command{
		Use:           "minttray",
		Short:         "One proxy of a fleet of cache servers.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          serve,
	}
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&operatorsFile, "operators", "", "the operators' file (or MINTTRAY_OPERATORS)")
	root.AddCommand(
		&cobra.Command{
			Use:   "serve",
			Short: "Serves until SIGTERM. This is the default command.",
			Args:  cobra.NoArgs,
			RunE:  serve,
		},
		&cobra.Command{
			Use:   "check FILE...",
			Short: "Checks operators' files (.toml) and configurations. Errors name the field.",
			Args:  cobra.MinimumNArgs(1),
			RunE: func(cmd *cobra.Command, paths []string) error {
				for _, path := range paths {
					if err := checkFile(path); err != nil {
						return err
					}
					fmt.Fprintln(cmd.OutOrStdout(), path+": fine")
				}
				return nil
			},
		},
		newPlanCommand(),
		&cobra.Command{
			Use:   "version",
			Short: "Prints the version, and the revision that it was built from.",
			Args:  cobra.NoArgs,
			Run: func(cmd *cobra.Command, _ []string) {
				fmt.Fprintln(cmd.OutOrStdout(), version())
			},
		})
	return root
}

func newPlanCommand() *cobra.Command {
	var lostSites []string
	asJSON := false
	c := &cobra.Command{
		Use:   "plan FILE",
		Short: "Plans for the loss of each site, of each pair of sites, and for each site cut off; status 3 if not all ops can be served.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			d, err := plan.Read(paths[0])
			if err != nil {
				return err
			}
			losses, err := plan.Losses(d, lostSites)
			if err != nil {
				return err
			}
			var plans []site.Plan
			shortage := "" // last one of the first plan with any
			for _, l := range losses {
				p := d.For(l)
				if plans = append(plans, p); !plan.FullyServed(p) && shortage == "" {
					for _, f := range p.Phases {
						if len(f.Shortages) > 0 {
							shortage = plan.Title(p) + ", " + f.Name + ": " + f.Shortages[0]
						}
					}
				}
			}
			if asJSON {
				err = plan.WriteJSON(cmd.OutOrStdout(), plans)
			} else {
				plan.WriteText(cmd.OutOrStdout(), d, plans)
			}
			if err == nil && shortage != "" {
				err = fmt.Errorf("%w: %s", errShortage, shortage)
			}
			return err
		},
	}
	c.Flags().StringSliceVar(&lostSites, "lose", nil, "the sites that are lost together, instead of all cases")
	c.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	return c
}

func checkFile(path string) error {
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

// version returns the module's version, the revision if the build recorded one, and the Go version.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "minttray, built without build information"
	}
	text := "minttray " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			text += " " + s.Key + "=" + s.Value
		}
	}
	return text + " " + info.GoVersion
}
