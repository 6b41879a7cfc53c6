package members

import (
	"slices"
	"testing"
)

// Guards against list operations that return the wrong entries or miscount their accesses.
func TestList(t *testing.T) {
	var v Visits
	l := NewList[string](&v)
	for _, name := range []string{"b", "a", "c"} {
		l.Append(name)
	}
	l.Sort(func(members []string) { slices.Sort(members) })
	before := v.Count()
	var got []string
	for i, name := range l.All() {
		if got = append(got, name); i == 1 {
			break
		}
	}
	if !slices.Equal(got, []string{"a", "b"}) || v.Count() != before+2 {
		t.Errorf("iterated over %v with %d visits, want [a b] with 2", got, v.Count()-before)
	}
	l.Put(0, "z")
	if l.At(0) != "z" || v.Count() != before+4 || l.Len() != 3 {
		t.Errorf("%v, %d visits, want z at index 0 of 3 and 4 visits", l.members, v.Count()-before)
	}
	l.Reset(5)
	if l.Len() != 5 || l.At(4) != "" || l.At(0) != "" {
		t.Errorf("%q after a reset to 5 zero values", l.members)
	}
}

// Guards against map operations that return the wrong entries or miscount their accesses.
func TestMap(t *testing.T) {
	var v Visits
	m := NewMap[int, string](&v)
	m.Put(1, "a")
	m.Put(2, "b")
	m.Delete(2)
	if m.Get(1) != "a" || m.Get(2) != "" || m.Len() != 1 || v.Count() != 5 {
		t.Errorf("%v, %d visits, want only 1:a and 5 visits", m.members, v.Count())
	}
	for id, name := range m.All() {
		if id != 1 || name != "a" {
			t.Errorf("iterated over %d %s, want 1 a", id, name)
		}
	}
	if v.Count() != 6 {
		t.Errorf("%d visits, want 6", v.Count())
	}
}
