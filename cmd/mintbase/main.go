// Command mintbase is a proxy for comparisons and tests in the laboratory. By the environment variable MINTBASE_RULE it replaces minttray's
// decision module by a baseline, or runs a deliberately faulty proxy. It is not meant for production.
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
	err := daemon.Main(func(settings policy.Settings, seed uint64, host policy.Host) daemon.Module {
		module, _ := baseline.New(name, settings, seed, host) // the name was checked above
		return module
	}, "")
	if err != nil {
		fmt.Fprintln(os.Stderr, "mintbase:", err)
		os.Exit(1)
	}
}
