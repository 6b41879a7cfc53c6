// Package operators reads the operators' file: settings of a proxy that the platform's configuration does not cover. It is a
// TOML file; unknown fields are errors, and errors name file, line and field. Each feature that it can enable is off without it.
package operators

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"minttray/strict"
)

// File is the content of an operators' file.
type File struct {
	Stop struct {
		Within DurationText `toml:"within"` // from SIGTERM until open ops are answered without a result
		Close  DurationText `toml:"close"`  // from then until the process exits, whatever is still open
		Spread DurationText `toml:"spread"` // period over which idle connections are closed when a successor serves
	} `toml:"stop"`
	State struct {
		Dir      string       `toml:"dir"`       // persistent directory, absolute; empty: learned state is lost at exit
		Every    DurationText `toml:"every"`     // interval between snapshots
		Oldest   DurationText `toml:"oldest"`    // maximum age of a snapshot that is loaded
		HalfLife DurationText `toml:"half_life"` // of the confidence in a snapshot
	} `toml:"state"`
	List struct {
		// Doubt is the share of the caches, 0 to 1, that a full list must lack to be confirmed by a second one. 0: off.
		Doubt   float64      `toml:"doubt"`
		Confirm DurationText `toml:"confirm"` // delay after which a list that still lacks them is accepted
	} `toml:"list"`

	path  string
	lines map[string]int // line of each field
}

// DurationText is a duration as text with a unit, such as "250ms". In a File that was read without error it is valid.
type DurationText string

// Duration returns the parsed value; 0 if the text is invalid.
func (t DurationText) Duration() time.Duration {
	d, _ := time.ParseDuration(string(t))
	return d
}

// Defaults returns the settings that apply without a file.
func Defaults() *File {
	f := &File{}
	f.Stop.Within, f.Stop.Close, f.Stop.Spread = "3500ms", "350ms", "0s"
	f.State.Every, f.State.Oldest, f.State.HalfLife = "1s", "60s", "10s"
	f.List.Confirm = "500ms"
	return f
}

// Read reads a file. An empty path means no file and returns the defaults.
func Read(path string) (*File, error) {
	if path == "" {
		return Defaults(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Decode(path, text)
}

// Decode decodes and checks the text of a file; path appears in errors.
func Decode(path string, text []byte) (*File, error) {
	f := Defaults()
	f.path = path
	if err := strict.Decode(path, string(text), f); err != nil {
		return nil, err
	}
	f.lines = strict.Lines(string(text))
	return f, f.check()
}

func (f *File) check() error {
	for _, duration := range []struct {
		field    string
		text     DurationText
		min, max time.Duration
	}{
		{"stop.within", f.Stop.Within, time.Second, time.Hour},
		{"stop.close", f.Stop.Close, 50 * time.Millisecond, time.Minute},
		{"stop.spread", f.Stop.Spread, 0, f.Stop.Within.Duration()},
		{"state.every", f.State.Every, 100 * time.Millisecond, time.Hour},
		{"state.oldest", f.State.Oldest, 100 * time.Millisecond, 24 * time.Hour},
		{"state.half_life", f.State.HalfLife, 100 * time.Millisecond, 24 * time.Hour},
		// Well within the grace period of a drain: a list that correctly lacks caches must take effect before it ends.
		{"list.confirm", f.List.Confirm, 50 * time.Millisecond, time.Second},
	} {
		d, err := time.ParseDuration(string(duration.text))
		if err != nil {
			return f.fieldError(duration.field, "%q is not a duration with a unit, such as \"250ms\"", string(duration.text))
		}
		if d < duration.min || d > duration.max {
			return f.fieldError(duration.field, "%v is not %v to %v", d, duration.min, duration.max)
		}
	}
	if !(f.List.Doubt >= 0 && f.List.Doubt <= 1) {
		return f.fieldError("list.doubt", "%v is not 0 to 1", f.List.Doubt)
	}
	if f.State.Dir != "" && !filepath.IsAbs(f.State.Dir) {
		return f.fieldError("state.dir", "%q is not an absolute path", f.State.Dir)
	}
	return nil
}

func (f *File) fieldError(field, format string, args ...any) error {
	return fmt.Errorf("%s:%d: %s: %s", f.path, f.lines[field], field, fmt.Sprintf(format, args...))
}
