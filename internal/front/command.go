package front

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"minttray/internal/deadline"
	"minttray/internal/engine"
	"minttray/internal/figures"
	"minttray/internal/resp"
	"minttray/internal/settings"
	"minttray/policy"
)

const (
	maxValueLength = 64 << 10  // bytes
	maxNameLength  = 1 << 10   // bytes of a key or id
	maxWait        = time.Hour // longest deadline that a client may send
)

// errFraming reports that the bounds of commands can no longer be determined.
var errFraming = errors.New("protocol error")

// commandLimits bounds commands, which are arrays of bulk strings only: inline commands are not supported.
var commandLimits = resp.Limits{MaxElements: 16, MaxBulkLength: maxValueLength}

// inlineLimits bounds commands that are parsed in the read buffer. The value of a write that exceeds them is read apart.
var inlineLimits = resp.Limits{MaxElements: commandLimits.MaxElements, MaxBulkLength: engine.MaxInlineBytes}

// Place of a write's value in its command.
const (
	writeWords = 5
	valueIndex = 4
)

// valueTooLong returns the error if it reports a write's value that has to be read apart from its command, and nil otherwise.
func valueTooLong(err error) *resp.BulkTooLongError {
	var tooLong *resp.BulkTooLongError
	if errors.As(err, &tooLong) && tooLong.Index == valueIndex && tooLong.ArrayLength == writeWords && tooLong.Length > 0 &&
		tooLong.Length <= engine.MaxValueBytes {
		return tooLong
	}
	return nil
}

// nextCommand parses the command at the start of b, which takes n bytes, or 0 while it is incomplete. An error means
// that the framing is lost, unless valueTooLong accepts it.
func nextCommand(b []byte, args [][]byte) (n int, words [][]byte, err error) {
	n, err = inlineLimits.CheckArray(b)
	if err != nil && valueTooLong(err) == nil {
		n, err = commandLimits.CheckArray(b)
	}
	if n == 0 || err != nil {
		return 0, nil, err
	}
	complete, words, kind, rest, err := redcon.ReadNextCommand(b[:n], args)
	if err == nil && (!complete || kind != redcon.Redis || len(rest) > 0 || len(words) == 0) {
		err = errFraming
	}
	if err != nil {
		return 0, nil, err
	}
	return n, words, nil
}

// NameTable maps the names in commands to the engine's indices.
type NameTable struct {
	categories map[string]int
	tenants    map[string]int
	classes    []*figures.Class // by category index
	atMostOnce []bool           // by category index: ops must never run twice
}

// NewNameTable maps the names of the settings to their indices, except those that have been removed.
func NewNameTable(s settings.Settings, metrics *figures.Metrics) NameTable {
	n := NameTable{categories: map[string]int{}, tenants: map[string]int{}}
	for i, name := range s.Categories {
		n.classes = append(n.classes, metrics.Class(name))
		n.atMostOnce = append(n.atMostOnce, s.Policy.Categories[i].Effect == policy.AtMostOnce)
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

// parseRequest makes an op from the words of a command whose last byte was received at received or later. The op's properties refer
// to the words. The error's text is sent to the client.
func (n NameTable) parseRequest(words [][]byte, write bool, received time.Time) (*engine.Op, error) {
	wantWords := writeWords - 1
	if write {
		wantWords = writeWords
	}
	if len(words) != wantWords {
		return nil, fmt.Errorf("wrong number of arguments: %d words wanted, %d came", wantWords, len(words))
	}
	op := &engine.Op{ReceivedAt: received, Tenant: engine.NoTenant}
	op.Request = engine.Request{Key: string(words[1]), ID: string(words[2]), Write: write}
	for i, name := range []string{op.Request.Key, op.Request.ID} {
		if !isPlainText(name) {
			return nil, fmt.Errorf("%s is empty, too long or not plain text", []string{"key", "id"}[i])
		}
	}
	list := words[3]
	if bytes.ContainsAny(list, "\r\n") {
		return nil, errors.New("line break in the properties")
	}
	if write {
		op.Request.Value = append([]byte(nil), words[valueIndex]...)
	}
	op.Key = hashKey(op.Request.Key)
	return op, n.parseProperties(op, list)
}

// parseProperties reads a request's comma-separated list of name=value pairs. Unknown names are passed on as they are. The op's
// properties refer to the list.
func (n NameTable) parseProperties(op *engine.Op, list []byte) error {
	hasCategory, hasWait, hasTenant, hasRetryMark := false, false, false, false
	for at := 0; at <= len(list); {
		end := bytes.IndexByte(list[at:], ',')
		if end < 0 {
			end = len(list)
		} else {
			end += at
		}
		name, value, _ := bytes.Cut(list[at:end], []byte{'='})
		var ok bool
		switch string(name) {
		case "c":
			if op.Category, ok = n.categories[string(value)]; !ok || hasCategory {
				return fmt.Errorf("unknown or repeated class %q", value)
			}
			op.AtMostOnce, hasCategory = n.atMostOnce[op.Category], true
		case "t":
			if len(n.tenants) == 0 {
				break // no tenants are configured
			}
			if op.Tenant, ok = n.tenants[string(value)]; !ok || hasTenant {
				return fmt.Errorf("unknown or repeated tenant %q", value)
			}
			hasTenant = true
		case "r":
			if string(value) != "0" && string(value) != "1" || hasRetryMark {
				return fmt.Errorf("r=%s is no mark of a retry", value)
			}
			op.IsRetry, hasRetryMark = string(value) == "1", true
		case "d":
			ms, err := strconv.ParseFloat(string(value), 64)
			if err != nil || len(bytes.Trim(value, "0123456789.")) > 0 || hasWait || !(ms > 0) || ms > float64(maxWait/time.Millisecond) {
				return fmt.Errorf("d=%s is no waiting time in milliseconds", value)
			}
			op.Request.Deadline = deadline.After(op.ReceivedAt, time.Duration(math.Floor(ms*float64(time.Millisecond))))
			op.Request.Properties = deadline.RemoveDeadline(list, end-len(value), end)
			hasWait = true
		}
		at = end + 1
	}
	switch {
	case !hasCategory:
		return errors.New("class (c) missing")
	case !hasWait:
		return errors.New("waiting time (d) missing")
	}
	return nil
}

// isPlainText reports whether a key or id can be used unescaped in a path and a header.
func isPlainText(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}

// hashKey returns the number of a key: the parsed value of 16 hexadecimal digits, or else a hash. It is never 0, which
// would mean that there is no key.
func hashKey(key string) uint64 {
	if len(key) == 16 {
		if n, err := strconv.ParseUint(key, 16, 64); err == nil && n != 0 {
			return n
		}
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	return max(h.Sum64(), 1)
}
