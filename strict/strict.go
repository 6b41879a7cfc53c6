// Package strict decodes TOML files and rejects unknown fields. Its errors name the file, the line and the field.
package strict

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes TOML text into the struct that into points to. An unknown field or a value of the wrong type is an error that
// names path, line and field; without a path it names line and field.
func Decode(path, text string, into any) error {
	if path != "" {
		path += ":"
	}
	decoder := toml.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var missing *toml.StrictMissingError
	var wrong *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		line, _ := missing.Errors[0].Position()
		return fmt.Errorf("%s%d: %s: unknown field", path, line, strings.Join(missing.Errors[0].Key(), "."))
	case errors.As(err, &wrong):
		line, _ := wrong.Position()
		return fmt.Errorf("%s%d: %s: %s", path, line, strings.Join(wrong.Key(), "."), wrong.Error())
	case err != nil:
		return fmt.Errorf("%s %w", path, err)
	}
	return nil
}

// Lines returns the line number of each table and field, for errors that are found after decoding. Keys are "table.key", and
// "table[2].key" for the third table of an array.
func Lines(text string) map[string]int {
	lines, table, seen := map[string]int{}, "", map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch key, _, ok := strings.Cut(line, "="); {
		case strings.HasPrefix(line, "[["):
			name := strings.Trim(line, "[] ")
			table = fmt.Sprintf("%s[%d].", name, seen[name])
			seen[name]++
			lines[strings.TrimSuffix(table, ".")] = i + 1
		case strings.HasPrefix(line, "["):
			table = strings.Trim(line, "[] ") + "."
			lines[strings.TrimSuffix(table, ".")] = i + 1
		case ok && !strings.HasPrefix(line, "#"):
			lines[table+strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}
