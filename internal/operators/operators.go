// Package operators reads the operators' own file: what the platform's configuration does not speak of. It is TOML, read
// strictly; what is wrong is named by file, line and field. All that it can switch on is off without it.
package operators

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"minttray/strict"
)

// File is what operators say.
type File struct {
	Stop struct {
		Within Span `toml:"within"` // from SIGTERM until what is open is handed back
		Close  Span `toml:"close"`  // from then until the process ends, whatever is left
		Spread Span `toml:"spread"` // over which idle connections are closed, where another process has taken over
	} `toml:"stop"`
	State struct {
		Dir      string `toml:"dir"` // lasting; empty: what was learned ends with the process
		Every    Span   `toml:"every"`
		Oldest   Span   `toml:"oldest"`
		HalfLife Span   `toml:"half_life"`
	} `toml:"state"`
	List struct {
		Doubt   float64 `toml:"doubt"`   // a whole list that lacks so large a share of the caches is asked for again; 0: believed
		Confirm Span    `toml:"confirm"` // after which it is believed if it still says so
	} `toml:"list"`

	path  string
	lines map[string]int
}

// Span is a span of time as it is written, with its unit; a File that was read holds none that is wrong.
type Span string

// Duration is the span as Go has it.
func (s Span) Duration() time.Duration {
	d, _ := time.ParseDuration(string(s))
	return d
}

// Defaults is what holds without a file.
func Defaults() *File {
	f := &File{}
	f.Stop.Within, f.Stop.Close, f.Stop.Spread = "3500ms", "350ms", "0s"
	f.State.Every, f.State.Oldest, f.State.HalfLife = "1s", "60s", "10s"
	f.List.Confirm = "500ms"
	return f
}

// Read reads a file; an empty path is none.
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

// Decode takes a file's text apart.
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
	for _, span := range []struct {
		field    string
		is       Span
		from, to time.Duration
	}{
		{"stop.within", f.Stop.Within, time.Second, time.Hour},
		{"stop.close", f.Stop.Close, 50 * time.Millisecond, time.Minute},
		{"stop.spread", f.Stop.Spread, 0, f.Stop.Within.Duration()},
		{"state.every", f.State.Every, 100 * time.Millisecond, time.Hour},
		{"state.oldest", f.State.Oldest, 100 * time.Millisecond, 24 * time.Hour},
		{"state.half_life", f.State.HalfLife, 100 * time.Millisecond, 24 * time.Hour},
		{"list.confirm", f.List.Confirm, 50 * time.Millisecond, time.Second}, // well within a drain's grace
	} {
		d, err := time.ParseDuration(string(span.is))
		if err != nil {
			return f.wrong(span.field, "%q is no span of time with a unit, such as \"250ms\"", string(span.is))
		}
		if d < span.from || d > span.to {
			return f.wrong(span.field, "%v is not %v to %v", d, span.from, span.to)
		}
	}
	if !(f.List.Doubt >= 0 && f.List.Doubt <= 1) {
		return f.wrong("list.doubt", "%v is not 0 to 1", f.List.Doubt)
	}
	if f.State.Dir != "" && !filepath.IsAbs(f.State.Dir) {
		return f.wrong("state.dir", "%q does not begin at the root", f.State.Dir)
	}
	return nil
}

func (f *File) wrong(field, what string, of ...any) error {
	return fmt.Errorf("%s:%d: %s: %s", f.path, f.lines[field], field, fmt.Sprintf(what, of...))
}
