// Command mintmove converts a proxy's configuration for a deployment of another shape.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"minttray/internal/move"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1 // unusable input or output
	exitUsage  = 2
)

const usage = `usage: mintmove [-n] [-f] [-o FILE] -to SHAPE OLD

mintmove reads OLD, a proxy's configuration file, and SHAPE, a TOML file that describes the new deployment. It writes
a complete new file and reports each field: kept, changed (from, to, why) or not carried over (why, what to do).
docs/migration.md has the steps of a migration.

Exit status: 0 every field is carried over or reported, 1 unusable input or output (nothing written), 2 usage.
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the command with its arguments and returns its exit status.
func run(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("mintmove", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { fmt.Fprint(stderr, usage); flags.PrintDefaults() }
	dryRun := flags.Bool("n", false, "dry run: print the report and write nothing")
	force := flags.Bool("f", false, "replace FILE if it exists")
	outputPath := flags.String("o", "", "`FILE` to write (default OLD.new)")
	shapePath := flags.String("to", "", "`SHAPE`, the description of the new deployment")
	if err := flags.Parse(args); errors.Is(err, flag.ErrHelp) {
		return exitOK
	} else if err != nil {
		return exitUsage
	}
	if flags.NArg() != 1 || *shapePath == "" {
		flags.Usage()
		return exitUsage
	}
	if *outputPath == "" {
		*outputPath = flags.Arg(0) + ".new"
	}
	if err := migrate(flags.Arg(0), *shapePath, *outputPath, *dryRun, *force, stdout); err != nil {
		fmt.Fprintln(stderr, "mintmove:", err)
		return exitFailed
	}
	return exitOK
}

// migrate converts the old file and writes the report, and the new file unless it is a dry run.
func migrate(oldPath, shapePath, outputPath string, dryRun, force bool, stdout io.Writer) error {
	text, results, err := convert(oldPath, shapePath)
	if err != nil {
		return err
	}
	if err := checkOutput(outputPath, force, oldPath, shapePath); err != nil {
		return err
	}
	for _, result := range results {
		fmt.Fprintln(stdout, result)
	}
	if dryRun {
		fmt.Fprintf(stdout, "nothing written; it would be %d bytes in %s\n", len(text), outputPath)
		return nil
	}
	if err := writeFile(outputPath, text, force); err != nil {
		return fmt.Errorf("%s: %w", outputPath, err)
	}
	fmt.Fprintf(stdout, "%d bytes in %s\n", len(text), outputPath)
	return nil
}

// convert reads both inputs and returns the new file's text and the result of each field.
func convert(oldPath, shapePath string) ([]byte, []move.FieldResult, error) {
	oldText, err := os.ReadFile(oldPath)
	if err != nil {
		return nil, nil, err
	}
	shapeText, err := os.ReadFile(shapePath)
	if err != nil {
		return nil, nil, err
	}
	shape, err := move.ParseShape(shapePath, shapeText)
	if err != nil {
		return nil, nil, err
	}
	return move.Convert(oldPath, oldText, shapePath, shape)
}

// checkOutput returns an error if the output must not be written: an input file is never overwritten, any other file
// only with force.
func checkOutput(outputPath string, force bool, inputPaths ...string) error {
	output, err := os.Stat(outputPath)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	for _, path := range inputPaths {
		if input, err := os.Stat(path); err == nil && os.SameFile(input, output) {
			return fmt.Errorf("%s: is an input file, which is never overwritten", outputPath)
		}
	}
	if !force {
		return fmt.Errorf("%s: already exists; -f replaces it", outputPath)
	}
	return nil
}

// writeFile writes the file atomically: after an error there is no partial file.
func writeFile(path string, text []byte, force bool) (err error) {
	temporary, err := os.CreateTemp(filepath.Dir(path), ".mintmove-*")
	if err != nil {
		return err
	}
	defer os.Remove(temporary.Name())
	_, err = temporary.Write(text)
	err = errors.Join(err, temporary.Sync(), temporary.Close())
	if err != nil {
		return err
	}
	if force {
		return os.Rename(temporary.Name(), path)
	}
	return os.Link(temporary.Name(), path) // fails if another process has created the file since checkOutput
}
