package settings

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
)

// maxIDs limits the categories, and the tenants, that a process can have had since its start, dropped ones included.
const maxIDs = 256

// Join replaces the settings of a running process while ops that were opened under the old ones may still be open. A category
// keeps its index as long as its rules stay the same, a tenant as long as it is named; a category with other rules, or a new
// one, is appended, and what the new settings lack is marked as removed. Settings that can't change in a running process keep
// their old value; waiting names those that differ.
func Join(old, new Settings) (joined Settings, waiting []string, err error) {
	joined = new
	p, oldPolicy := &joined.Policy, old.Policy
	for _, fixed := range []struct {
		name string
		same bool
		keep func()
	}{
		{"settings.discovery", p.AskList == oldPolicy.AskList, func() { p.AskList = oldPolicy.AskList }},
		{"settings.family-info", p.Aside == oldPolicy.Aside && p.OriginKind == oldPolicy.OriginKind, func() {
			p.Aside, p.OriginKind = oldPolicy.Aside, oldPolicy.OriginKind
		}},
		{"settings.index", p.Index == oldPolicy.Index, func() { p.Index = oldPolicy.Index }},
		{"settings.zones", p.Zone == oldPolicy.Zone && slices.Equal(new.Zones, old.Zones), func() {
			p.Zone, p.Zones, joined.Zones = oldPolicy.Zone, oldPolicy.Zones, old.Zones
		}},
		{"settings.skus", slices.Equal(new.Kinds, old.Kinds), func() { joined.Kinds = old.Kinds }},
		{"settings.load-report", p.Probing == oldPolicy.Probing && new.PaceField == old.PaceField &&
			new.WaitingField == old.WaitingField && new.RateField == old.RateField, func() {
			p.Probing = oldPolicy.Probing
			joined.PaceField, joined.WaitingField, joined.RateField = old.PaceField, old.WaitingField, old.RateField
		}},
		{"settings.tick-us", p.Tick == oldPolicy.Tick, func() { p.Tick = oldPolicy.Tick }},
	} {
		if !fixed.same {
			waiting = append(waiting, fixed.name)
			fixed.keep()
		}
	}
	p.Categories, joined.Categories = slices.Clone(oldPolicy.Categories), slices.Clone(old.Categories)
	for i := range p.Categories {
		p.Categories[i].Dropped = true
	}
	for i, category := range new.Policy.Categories {
		index := 0
		for ; index < len(p.Categories); index++ {
			existing := p.Categories[index]
			if existing.Dropped = false; existing == category && joined.Categories[index] == new.Categories[i] {
				p.Categories[index] = existing
				break
			}
		}
		if index == len(p.Categories) {
			p.Categories, joined.Categories = append(p.Categories, category), append(joined.Categories, new.Categories[i])
		}
	}
	p.Quotas, joined.Tenants, joined.Gone = slices.Clone(oldPolicy.Quotas), slices.Clone(old.Tenants), make([]bool, len(old.Tenants))
	for i := range joined.Gone {
		joined.Gone[i] = true
	}
	for i, name := range new.Tenants {
		if index := slices.Index(joined.Tenants, name); index >= 0 {
			p.Quotas[index], joined.Gone[index] = new.Policy.Quotas[i], false
			continue
		}
		p.Quotas, joined.Tenants = append(p.Quotas, new.Policy.Quotas[i]), append(joined.Tenants, name)
		joined.Gone = append(joined.Gone, false)
	}
	if len(p.Categories) > maxIDs || len(p.Quotas) > maxIDs {
		return old, nil, fmt.Errorf("settings: more than %d categories or tenants since the start: restart", maxIDs)
	}
	return joined, waiting, nil
}

// CheckComplete returns an error that names a field of the old JSON text that the new one lacks. A file that was truncated, or
// lost a line in editing, still decodes, and defaults would silently replace what the field said. It compares all top-level
// fields; of nested ones only those that Decode reads.
func CheckComplete(oldText, newText []byte) error {
	var oldFields, newFields map[string]any
	if err := json.Unmarshal(oldText, &oldFields); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := json.Unmarshal(newText, &newFields); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	for name := range oldFields {
		if _, ok := newFields[name]; !ok {
			return fmt.Errorf("settings: %s: missing", name)
		}
	}
	t := reflect.TypeFor[conf]()
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("json")
		if f.Type.Kind() == reflect.Slice {
			oldList, _ := oldFields[name].([]any)
			newList, _ := newFields[name].([]any)
			if len(oldList) > 0 && len(newList) == 0 {
				return fmt.Errorf("settings: %s is empty", name)
			}
			for n, element := range newList {
				for key := range commonKeys(oldList) {
					if object, ok := element.(map[string]any); ok && object[key] == nil {
						return fmt.Errorf("settings: %s[%d].%s: missing", name, n, key)
					}
				}
			}
		}
		if f.Type.Kind() != reflect.Struct {
			continue
		}
		oldObject, _ := oldFields[name].(map[string]any)
		newObject, _ := newFields[name].(map[string]any)
		for _, nested := range FieldNames(f.Type) {
			if _, inOld := oldObject[nested]; inOld {
				if _, inNew := newObject[nested]; !inNew {
					return fmt.Errorf("settings: %s.%s: missing", name, nested)
				}
			}
		}
	}
	return nil
}

// commonKeys returns the keys that all objects of a list have with a value other than null.
func commonKeys(list []any) map[string]bool {
	counts, common := map[string]int{}, map[string]bool{}
	for _, element := range list {
		object, _ := element.(map[string]any)
		for key, value := range object {
			if value != nil {
				counts[key]++
			}
		}
	}
	for key, n := range counts {
		if n == len(list) {
			common[key] = true
		}
	}
	return common
}
