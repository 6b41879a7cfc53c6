// Command simhost runs the decision module for the simulator, over standard input and output.
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
