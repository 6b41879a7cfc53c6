// Package config reads the configuration of a proxy from its environment and a JSON file.
package config

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"minttray/internal/discovery"
	"minttray/internal/settings"
	"minttray/policy"
)

// Config is the configuration of a proxy.
type Config struct {
	Name      string
	Listen    string // address for clients, host:port
	Discovery string // address of the discovery service, host:port
	Control   string // address for operators' calls, host:port; empty: none
	Seed      uint64
	Cores     float64         // limit of CPU cores; 0: not set
	MemoryMB  int             // limit of memory in MiB; 0: not set
	Sockets   int             // limit of open sockets
	Known     json.RawMessage // last known cache list, in the format of discovery
	Settings  settings.Settings

	text     []byte // of the file
	settings []byte // text of its settings object
}

// file is the JSON form of a configuration file.
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

// Fields returns the names of a file's fields other than the settings, those of nested objects as paths joined by dots.
func Fields() []string {
	return slices.DeleteFunc(settings.FieldNames(reflect.TypeFor[file]()), func(name string) bool { return name == "settings" })
}

// unitsPerSecond converts seconds to policy.Time.
const unitsPerSecond = 10_000

// maxAskEvery is the longest interval between two requests to discovery. A change of the list must reach a proxy within 6 s, also one
// that has just started: its first request comes within half of the interval, and leaves 2 s for the answer.
const maxAskEvery = policy.Time(8 * unitsPerSecond)

// maxListPause is the longest pause after a failed request to discovery.
var maxListPause = policy.Time(discovery.MaxOnDemandPause() * unitsPerSecond / time.Second)

// minSockets leaves room for the listener, the runtime, discovery, and a few connections to clients and to caches.
const minSockets = 64

// Load reads the configuration from the environment, through get, and the file that it names. Errors name the field.
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

// Parse decodes and checks the text of a configuration file, with the environment read through get. The path appears in errors.
func Parse(path string, text []byte, get func(string) string) (Config, error) {
	var c Config
	var err error
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return c, fmt.Errorf("BALANCER_CONFIG: %s: %w", path, err)
	}
	for _, field := range []struct {
		name     string
		variable string // of the environment
		inFile   string // value in the file
		target   *string
	}{
		{"name", "BALANCER_NAME", f.Name, &c.Name},
		{"listen", "BALANCER_LISTEN", f.Listen, &c.Listen},
		{"discovery", "BALANCER_DISCOVERY", f.Discovery, &c.Discovery},
		{"control", "BALANCER_CONTROL", f.Control, &c.Control},
	} {
		inEnvironment := get(field.variable)
		// Only the file can change while the proxy runs. After a reload and a restart the variable may still hold the former
		// address of discovery or control, so for these two the file takes precedence.
		if inEnvironment != "" && field.inFile != "" && inEnvironment != field.inFile && field.name != "discovery" && field.name != "control" {
			return c, fmt.Errorf("%s: the file says %q, %s says %q", field.name, field.inFile, field.variable, inEnvironment)
		}
		if *field.target = field.inFile; field.inFile == "" {
			*field.target = inEnvironment
		}
		if *field.target == "" && field.name == "control" {
			continue
		}
		if *field.target == "" {
			return c, fmt.Errorf("%s: missing", field.name)
		}
		if field.name != "name" {
			if _, _, err := net.SplitHostPort(*field.target); err != nil {
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
	case c.Sockets < minSockets:
		return c, fmt.Errorf("limits.sockets: %d is below %d", c.Sockets, minSockets)
	case len(f.Settings) == 0:
		return c, fmt.Errorf("settings: missing")
	}
	c.Known = f.Known
	if c.Settings, err = settings.Decode(f.Settings); err != nil {
		return c, err
	}
	// 0 means that the settings name no interval.
	if interval := &c.Settings.Policy.AskEvery; *interval == 0 || *interval > maxAskEvery {
		*interval = maxAskEvery
	}
	c.Settings.Policy.MaxListPause = maxListPause
	c.text, c.settings = text, f.Settings
	return c, nil
}

// Reload reads and checks the file again and returns the configuration that applies from then on. Discovery and settings can
// change in a running proxy; waiting names the other fields that differ and need a restart. With an error, the configuration is
// unchanged.
func (c Config) Reload(get func(string) string) (reloaded Config, waiting []string, err error) {
	update, err := Load(get)
	if err != nil {
		return c, nil, err
	}
	if err := c.checkComplete(update); err != nil {
		return c, nil, err
	}
	reloaded = c
	if reloaded.Settings, waiting, err = settings.Join(c.Settings, update.Settings); err != nil {
		return c, nil, err
	}
	for _, field := range []struct {
		name string
		same bool
	}{
		{"name", update.Name == c.Name},
		{"listen", update.Listen == c.Listen},
		{"limits", update.Cores == c.Cores && update.MemoryMB == c.MemoryMB && update.Sockets == c.Sockets},
	} {
		if !field.same {
			waiting = append(waiting, field.name)
		}
	}
	reloaded.Discovery, reloaded.text, reloaded.settings = update.Discovery, update.text, update.settings
	return reloaded, waiting, nil // seed, known and control apply at the start only
}

// checkComplete returns an error that names a field that the update lacks.
func (c Config) checkComplete(update Config) error {
	var oldFields, newFields map[string]json.RawMessage
	if json.Unmarshal(c.text, &oldFields) != nil || json.Unmarshal(update.text, &newFields) != nil {
		return fmt.Errorf("BALANCER_CONFIG: not an object")
	}
	for name := range oldFields {
		if _, ok := newFields[name]; !ok && name != "known" && name != "control" {
			return fmt.Errorf("%s: missing", name)
		}
	}
	return settings.CheckComplete(c.settings, update.settings)
}
