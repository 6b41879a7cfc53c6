// Command mintbase is a proxy with a plain rule in the module's place, for the lab to compare with. It is no daemon.
package main

import (
	"fmt"
	"os"

	"minttray/internal/daemon"
	"minttray/lab/baseline"
	"minttray/policy"
)

func main() {
	name := os.Getenv("MINTBASE_RULE")
	if baseline.IsFaulty(name) {
		fmt.Fprintln(os.Stderr, "mintbase:", baseline.ServeFaulty(name, os.Getenv("BALANCER_CONFIG")))
		os.Exit(1)
	}
	if _, err := baseline.New(name, policy.Settings{}, 0, nil); err != nil {
		fmt.Fprintln(os.Stderr, "mintbase: MINTBASE_RULE:", err)
		os.Exit(2)
	}
	err := daemon.Main(func(s policy.Settings, seed uint64, h policy.Host) daemon.Module {
		r, _ := baseline.New(name, s, seed, h) // the name was checked above
		return r
	}, "")
	if err != nil {
		fmt.Fprintln(os.Stderr, "mintbase:", err)
		os.Exit(1)
	}
}
