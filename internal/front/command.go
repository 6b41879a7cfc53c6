package front

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/resp"
	"minttray/internal/settings"
)

const (
	longestValue = 64 << 10
	longestName  = 1 << 10 // key or id
	longestWait  = time.Hour
)

var errFraming = errors.New("protocol error")

// A command is an array of bulk strings and nothing else: inline ones are no part of the protocol here.
var form = resp.Limits{MaxElements: 16, MaxBulkLength: longestValue}

// next takes a whole command off b; n is 0 while some of it is missing. An error means that the framing is lost.
func next(b []byte, args [][]byte) (n int, words [][]byte, err error) {
	if n, err = form.CheckArray(b); n == 0 || err != nil {
		return 0, nil, err
	}
	whole, words, kind, rest, err := redcon.ReadNextCommand(b[:n], args)
	if err == nil && (!whole || kind != redcon.Redis || len(rest) > 0 || len(words) == 0) {
		err = errFraming
	}
	if err != nil {
		return 0, nil, err
	}
	return n, words, nil
}

// NameTable maps what commands name to the module's numbers.
type NameTable struct {
	categories, tenants map[string]int
	classes             []*figures.Class // by category's number
}

// NewNameTable takes the names in the module's order, less those that are no longer asked for.
func NewNameTable(s settings.Settings, book *figures.Book) NameTable {
	n := NameTable{categories: map[string]int{}, tenants: map[string]int{}}
	for i, name := range s.Categories {
		n.classes = append(n.classes, book.Class(name))
		if !s.Policy.Categories[i].Dropped {
			n.categories[name] = i
		}
	}
	for i, name := range s.Tenants {
		if s.Gone == nil || !s.Gone[i] {
			n.tenants[name] = i
		}
	}
	return n
}

// parse makes an op of a command's words, whose last byte came at a moment. The error says what is wrong, for the client.
func (n NameTable) parse(words [][]byte, write bool, received time.Time) (*engine.Op, error) {
	want := 4
	if write {
		want = 5
	}
	if len(words) != want {
		return nil, fmt.Errorf("wrong number of arguments: %d words wanted, %d came", want, len(words))
	}
	o := &engine.Op{ReceivedAt: received, Tenant: engine.NoTenant}
	o.Request = engine.Request{Key: string(words[1]), ID: string(words[2]), Write: write}
	for i, name := range []string{o.Request.Key, o.Request.ID} {
		if !plain(name) {
			return nil, fmt.Errorf("%s is empty, too long or not plain text", []string{"key", "id"}[i])
		}
	}
	list := string(words[3])
	if strings.ContainsAny(list, "\r\n") {
		return nil, errors.New("line break in the properties")
	}
	if write {
		o.Request.Value = append([]byte(nil), words[4]...)
	}
	o.Key = hash(o.Request.Key)
	return o, n.properties(o, list)
}

// properties reads a request's list of names and values.
func (n NameTable) properties(o *engine.Op, list string) error {
	category, wait, tenant, marked := false, false, false, false
	for at := 0; at <= len(list); {
		end := strings.IndexByte(list[at:], ',')
		if end < 0 {
			end = len(list)
		} else {
			end += at
		}
		name, value, _ := strings.Cut(list[at:end], "=")
		var ok bool
		switch name {
		case "c":
			if o.Category, ok = n.categories[value]; !ok || category {
				return fmt.Errorf("unknown or repeated class %q", value)
			}
			category = true
		case "t":
			if len(n.tenants) == 0 {
				break // the deployment knows none
			}
			if o.Tenant, ok = n.tenants[value]; !ok || tenant {
				return fmt.Errorf("unknown or repeated tenant %q", value)
			}
			tenant = true
		case "r":
			if value != "0" && value != "1" || marked {
				return fmt.Errorf("r=%s is no mark of a retry", value)
			}
			o.IsRetry, marked = value == "1", true
		case "d":
			ms, err := strconv.ParseFloat(value, 64)
			if err != nil || strings.Trim(value, "0123456789.") != "" || wait || !(ms > 0) || ms > float64(longestWait/time.Millisecond) {
				return fmt.Errorf("d=%s is no waiting time in milliseconds", value)
			}
			o.Request.Deadline = deadline.After(o.ReceivedAt, time.Duration(math.Floor(ms*float64(time.Millisecond))))
			o.Request.Properties = deadline.RemoveDeadline(list, end-len(value), end)
			wait = true
		}
		at = end + 1
	}
	switch {
	case !category:
		return errors.New("class (c) missing")
	case !wait:
		return errors.New("waiting time (d) missing")
	}
	return nil
}

// plain tells whether a key or id can stand in a path and a header as it is.
func plain(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= longestName
}

// hash is a key's number: itself where it is one, else its hash. 0 would mean no key.
func hash(key string) uint64 {
	if len(key) == 16 {
		if n, err := strconv.ParseUint(key, 16, 64); err == nil && n != 0 {
			return n
		}
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(h.Sum64(), 1)
}
