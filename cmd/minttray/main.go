// Command minttray is one proxy of a fleet of cache servers.
package main

import (
	"fmt"
	"os"

	"minttray/internal/daemon"
	"minttray/policy"
)

func main() {
	if err := daemon.Main(func(s policy.Settings, seed uint64, h policy.Host) daemon.Module { return policy.New(s, seed, h) }); err != nil {
		fmt.Fprintln(os.Stderr, "minttray:", err)
		os.Exit(1)
	}
}
