// Command simhost puts the decision module on the simulator's wire.
package main

import (
	"fmt"
	"os"

	"minttray/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
