// Package config holds what a proxy is told at its start: environment and JSON file.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"

	"minttray/internal/settings"
	"minttray/policy"
)

// Config is one proxy's configuration.
type Config struct {
	Name, Listen, Discovery string
	Control                 string // where operators call; empty: nowhere
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   json.RawMessage // the list as last had, in discovery's form
	Settings                settings.Settings

	text     []byte // of the file
	settings []byte
}

type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Control   string `json:"control"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Fields names what a file holds beside the settings.
func Fields() []string {
	return slices.DeleteFunc(settings.Names(reflect.TypeFor[file]()), func(name string) bool { return name == "settings" })
}

const mostAsk = policy.Time(8 * 10000) // 8 s, twice what is left of those 6 for a call that is answered late

const leastSockets = 64 // listener, runtime, discovery, and a few for each side

// Load reads the environment through get and the file that it names. Each error names the field.
func Load(get func(string) string) (Config, error) {
	var c Config
	path := get("BALANCER_CONFIG")
	if path == "" {
		return c, fmt.Errorf("BALANCER_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	return Parse(path, text, get)
}

// Parse takes the text of a configuration file; path is what errors call it.
func Parse(path string, text []byte, get func(string) string) (Config, error) {
	var c Config
	var err error
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return c, fmt.Errorf("BALANCER_CONFIG: %s: %w", path, err)
	}
	for _, field := range []struct {
		name, variable string
		in             string
		out            *string
	}{
		{"name", "BALANCER_NAME", f.Name, &c.Name},
		{"listen", "BALANCER_LISTEN", f.Listen, &c.Listen},
		{"discovery", "BALANCER_DISCOVERY", f.Discovery, &c.Discovery},
		{"control", "BALANCER_CONTROL", f.Control, &c.Control},
	} {
		told := get(field.variable)
		// Only the file can be replaced while the proxy runs, and after a reload and a restart the variable may
		// still hold where discovery was: there the file counts.
		if told != "" && field.in != "" && told != field.in && field.name != "discovery" && field.name != "control" {
			return c, fmt.Errorf("%s: the file says %q, %s says %q", field.name, field.in, field.variable, told)
		}
		if *field.out = field.in; field.in == "" {
			*field.out = told
		}
		if *field.out == "" && field.name == "control" {
			continue
		}
		if *field.out == "" {
			return c, fmt.Errorf("%s: missing", field.name)
		}
		if field.name != "name" {
			if _, _, err := net.SplitHostPort(*field.out); err != nil {
				return c, fmt.Errorf("%s: %w", field.name, err)
			}
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", f.Seed)
	}
	c.Cores, c.MemoryMB, c.Sockets = f.Limits.Cores, f.Limits.MemoryMB, f.Limits.Sockets
	switch {
	case c.Cores < 0:
		return c, fmt.Errorf("limits.cores: %v is below 0", c.Cores)
	case c.MemoryMB < 0:
		return c, fmt.Errorf("limits.memory_mb: %d is below 0", c.MemoryMB)
	case c.Sockets < leastSockets:
		return c, fmt.Errorf("limits.sockets: %d is below %d", c.Sockets, leastSockets)
	case len(f.Settings) == 0:
		return c, fmt.Errorf("settings: missing")
	}
	c.Known = f.Known
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return c, err
	}
	// Danger: on sockets news counts as told after 6 s, whatever the settings say of how often to ask, and a call that failed is
	// followed by the next within half of that time.
	if every := &c.Settings.Policy.AskEvery; *every == 0 || *every > mostAsk { // 0: not told, and no span to ask again in
		*every = mostAsk
	}
	c.text, c.settings = text, f.Settings
	return c, nil
}

// Reload reads the file anew, as whole as at the start, and gives what is in force from then on. Discovery and settings can
// change while a proxy runs; which other fields differ, and so wait for a restart, is told by name. With an error, what is
// in force stands, whole.
func (c Config) Reload(get func(string) string) (now Config, waiting []string, err error) {
	n, err := Load(get)
	if err != nil {
		return c, nil, err
	}
	if err := c.short(n); err != nil {
		return c, nil, err
	}
	now = c
	if now.Settings, waiting, err = settings.Join(c.Settings, n.Settings); err != nil {
		return c, nil, err
	}
	for _, field := range []struct {
		name string
		same bool
	}{
		{"name", n.Name == c.Name},
		{"listen", n.Listen == c.Listen},
		{"limits", n.Cores == c.Cores && n.MemoryMB == c.MemoryMB && n.Sockets == c.Sockets},
	} {
		if !field.same {
			waiting = append(waiting, field.name)
		}
	}
	now.Discovery, now.text, now.settings = n.Discovery, n.text, n.settings
	return now, waiting, nil // seed, known and control are for the start alone
}

// short finds a field that the file in force has and the new one lacks.
func (c Config) short(n Config) error {
	var was, is map[string]json.RawMessage
	if json.Unmarshal(c.text, &was) != nil || json.Unmarshal(n.text, &is) != nil {
		return fmt.Errorf("BALANCER_CONFIG: not an object")
	}
	for name := range was {
		if _, ok := is[name]; !ok && name != "known" && name != "control" {
			return fmt.Errorf("%s: missing", name)
		}
	}
	return settings.Short(c.settings, n.settings)
}
