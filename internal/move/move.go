// Package move converts a proxy's configuration for another deployment. Fields that still apply are kept, fields that
// the shape file sets are changed, and every field that can't be carried over is reported with a reason.
package move

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"minttray/internal/config"
	"minttray/internal/settings"
)

// Shape describes one proxy of the new deployment, as a TOML file does, the shape file. Name, listen address, seed and index
// differ between proxies, so each has a shape file of its own.
type Shape struct {
	Name      string         `toml:"name"`
	Listen    string         `toml:"listen"`
	Discovery string         `toml:"discovery"` // empty: the old configuration's
	Seed      string         `toml:"seed"`      // hexadecimal
	Proxies   int            `toml:"proxies"`   // number of proxies in the fleet; at least 1
	Index     *int           `toml:"index"`     // of this proxy: 0 to Proxies-1; nil: missing
	Limits    map[string]any `toml:"limits"`
	Settings  map[string]any `toml:"settings"` // by name; other settings that a proxy reads keep their old value
}

// FieldResult is the result of converting one field.
type FieldResult struct {
	Field    string // path of the field, its names joined by dots
	Status   string // Kept, Changed or Dropped
	OldValue string // JSON; empty: the old configuration does not have the field
	NewValue string // JSON; empty: the new configuration does not have the field
	Reason   string // why the field was changed or dropped; empty: it was kept
}

// Values of FieldResult.Status.
const (
	Kept    = "kept"
	Changed = "changed"
	Dropped = "not carried over"
)

func (r FieldResult) String() string {
	switch r.Status {
	case Kept:
		return fmt.Sprintf("%s: kept: %s", r.Field, abbreviate(r.NewValue))
	case Changed:
		oldValue := abbreviate(r.OldValue)
		if r.OldValue == "" {
			oldValue = "nothing"
		}
		return fmt.Sprintf("%s: changed: from %s to %s: %s", r.Field, oldValue, abbreviate(r.NewValue), r.Reason)
	}
	return fmt.Sprintf("%s: not carried over: %s: %s", r.Field, abbreviate(r.OldValue), r.Reason)
}

// abbreviate shortens a long value to its beginning and its length.
func abbreviate(value string) string {
	const maxBytes = 60
	if len(value) <= maxBytes {
		return value
	}
	return fmt.Sprintf("%s... (%d bytes)", strings.ToValidUTF8(value[:maxBytes], ""), len(value))
}

// Reasons of fields that fleetSpecific does not hold.
const (
	reasonUnread  = "the proxy does not read it; nothing to do"
	reasonShape   = "set by the shape file"
	reasonUnknown = "not a field of a proxy's configuration; check what it was meant for"
)

// fleetSpecific holds the fields that describe the old proxy or its fleet, each with the reason that
// is reported when the field is dropped.
var fleetSpecific = map[string]string{
	"known": "the old fleet's list; the new proxy gets its list from discovery, or set known to the new fleet's list",
}

// ParseShape parses the text of a shape file. The path is used in errors.
func ParseShape(path string, text []byte) (Shape, error) {
	var s Shape
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			line, _ := strict.Errors[0].Position()
			return s, fmt.Errorf("%s: line %d: %s: unknown field", path, line, strings.Join(strict.Errors[0].Key(), "."))
		}
		return s, fmt.Errorf("%s: %w", path, err)
	}
	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"name", s.Name == ""}, {"listen", s.Listen == ""}, {"seed", s.Seed == ""}, {"index", s.Index == nil},
	} {
		if field.missing {
			return s, fmt.Errorf("%s: %s: missing", path, field.name)
		}
	}
	if s.Proxies < 1 {
		return s, fmt.Errorf("%s: proxies: %d is below 1", path, s.Proxies)
	}
	if *s.Index < 0 || *s.Index >= s.Proxies {
		return s, fmt.Errorf("%s: index: %d is not 0 to %d", path, *s.Index, s.Proxies-1)
	}
	for _, field := range []string{"balancers", "index"} { // settings.balancers is set to the shape's proxies
		if _, set := s.Settings[field]; set {
			return s, fmt.Errorf("%s: settings.%s: set by proxies and index; remove it", path, field)
		}
	}
	return s, nil
}

var (
	// environmentFields maps each environment variable that sets a field of the configuration to that field.
	environmentFields = map[string]string{"BALANCER_NAME": "name", "BALANCER_LISTEN": "listen", "BALANCER_DISCOVERY": "discovery"}
	// placeholders are valid values for the fields that the old proxy may have got from its environment. They only let the old
	// configuration be parsed and are not written.
	placeholders = map[string]string{"name": "elsewhere", "listen": "elsewhere:0", "discovery": "elsewhere:0"}
)

// Convert returns the new configuration of the proxy whose old one is given, and the results of its fields, ordered by
// field. Equal input gives equal text.
func Convert(oldPath string, old []byte, shapePath string, s Shape) (text []byte, results []FieldResult, err error) {
	oldFields, err := parseObject(old)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", oldPath, err)
	}
	// Fields that the old proxy got from its environment may be missing in its file: placeholders stand in for them.
	oldConfig, err := config.Parse(oldPath, old, func(name string) string {
		if field := environmentFields[name]; oldFields[field] == nil {
			return placeholders[field]
		}
		return ""
	})
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", oldPath, err)
	}
	if s.Listen == oldConfig.Listen {
		return nil, nil, fmt.Errorf("%s: listen: %s is the old proxy's address; both proxies run side by side during a migration", shapePath, s.Listen)
	}
	shapeFields := map[string]any{"name": s.Name, "listen": s.Listen, "seed": s.Seed}
	if s.Discovery != "" {
		shapeFields["discovery"] = s.Discovery
	}
	shapeSettings := map[string]any{"balancers": s.Proxies, "index": *s.Index}
	for name, value := range s.Settings {
		shapeSettings[name] = value
	}
	shapeFields["settings"] = shapeSettings
	if s.Limits != nil {
		shapeFields["limits"] = s.Limits
	}
	if shapeFields, err = normalize(shapeFields); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", shapePath, err)
	}
	proxyFields := proxyFieldPaths()
	newFields := map[string]any{}
	for _, field := range fieldPaths("", oldFields, shapeFields, proxyFields) {
		oldValue, inOld := fieldValue(oldFields, field)
		shapeValue, inShape := fieldValue(shapeFields, field)
		_, isProxyField := proxyFields[field]
		result := FieldResult{Field: field, OldValue: oldValue, NewValue: shapeValue, Status: Changed, Reason: reasonShape}
		switch reason, isFleetSpecific := fleetSpecific[field]; {
		case inShape && !isProxyField:
			return nil, nil, fmt.Errorf("%s: %s: unknown field", shapePath, field)
		case isFleetSpecific && inOld:
			result.Status, result.Reason = Dropped, reason
		case inShape && oldValue == shapeValue:
			result.Status, result.Reason = Kept, ""
		case inShape:
		case isProxyField:
			result.Status, result.NewValue, result.Reason = Kept, oldValue, ""
		case strings.HasPrefix(field, "settings."):
			result.Status, result.Reason = Dropped, reasonUnread
		default:
			result.Status, result.Reason = Dropped, reasonUnknown
		}
		if result.Status != Dropped {
			setField(newFields, field, json.RawMessage(result.NewValue))
		}
		results = append(results, result)
	}
	if text, err = json.MarshalIndent(newFields, "", "  "); err != nil {
		return nil, nil, err
	}
	text = append(text, '\n')
	if _, err := config.Parse("the new file", text, func(string) string { return "" }); err != nil {
		return nil, nil, fmt.Errorf("%s: with %s: %w", shapePath, oldPath, err)
	}
	return text, results, nil
}

// proxyFieldPaths returns the paths of the fields that a proxy reads. A list is one field.
func proxyFieldPaths() map[string]bool {
	paths := map[string]bool{}
	for _, name := range config.Fields() {
		paths[name] = true
	}
	for _, name := range settings.Fields() {
		paths["settings."+name] = true
	}
	return paths
}

// parseObject parses text that holds one JSON object and nothing else. Numbers keep their spelling.
func parseObject(text []byte) (map[string]any, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("unexpected data after the JSON object")
	}
	return object, nil
}

// normalize encodes an object to JSON and parses it again, so that its values compare equal to those of a JSON file. Numbers
// do so only if they are spelled alike.
func normalize(object map[string]any) (map[string]any, error) {
	text, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	return parseObject(text)
}

// fieldPaths returns the paths of all fields of either object, sorted. An object is one field if it is empty, or if proxyFields
// has its path: the proxy then reads it as one value.
func fieldPaths(prefix string, oldFields, shapeFields map[string]any, proxyFields map[string]bool) (paths []string) {
	var names []string
	for name := range oldFields {
		names = append(names, name)
	}
	for name := range shapeFields {
		if _, inBoth := oldFields[name]; !inBoth {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		path := strings.TrimPrefix(prefix+"."+name, ".")
		oldObject, oldIsObject := oldFields[name].(map[string]any)
		shapeObject, shapeIsObject := shapeFields[name].(map[string]any)
		if (oldIsObject || shapeIsObject) && !proxyFields[path] && (len(oldObject) > 0 || len(shapeObject) > 0) {
			paths = append(paths, fieldPaths(path, oldObject, shapeObject, proxyFields)...)
		} else {
			paths = append(paths, path)
		}
	}
	return paths
}

// fieldValue returns the value at a path as JSON, and whether there is one.
func fieldValue(object map[string]any, path string) (string, bool) {
	var value any = object
	for _, name := range strings.Split(path, ".") {
		inner, ok := value.(map[string]any)
		if !ok {
			return "", false
		}
		if value, ok = inner[name]; !ok {
			return "", false
		}
	}
	text, err := json.Marshal(value)
	return string(text), err == nil
}

// setField sets the value at a path, and creates the objects on that path.
func setField(object map[string]any, path string, value any) {
	names := strings.Split(path, ".")
	for _, name := range names[:len(names)-1] {
		inner, ok := object[name].(map[string]any)
		if !ok {
			inner = map[string]any{}
			object[name] = inner
		}
		object = inner
	}
	object[names[len(names)-1]] = value
}
