// Package resp checks RESP2 arrays strictly. redcon's parsers report much malformed input as incomplete, so a caller
// that relies on them alone waits for bytes that never come. The checks run before those parsers: input that they
// report as complete can be parsed by redcon.
package resp

import (
	"errors"
	"fmt"
)

// maxLengthDigits bounds the digits of a length. Longer ones are never valid, and the bound detects a length line
// without an end early.
const maxLengthDigits = 9

// Limits bounds the arrays of bulk strings that are accepted.
type Limits struct {
	MaxElements   int  // of an array; at least one element is required
	MaxBulkLength int  // of one bulk string, in bytes
	AllowNull     bool // an element may be a null bulk string
}

// BulkTooLongError reports a bulk string that exceeds the limits. Everything before it is complete and valid.
type BulkTooLongError struct {
	ArrayLength int // number of elements of the array
	Index       int // of the bulk string in the array, from 0
	Length      int // announced length in bytes; below 0 if invalid
	Offset      int // where the bulk string's content begins in the input
	MaxLength   int // limit in bytes
}

func (e *BulkTooLongError) Error() string {
	return fmt.Sprintf("protocol error: a bulk string of %d bytes, at most %d", e.Length, e.MaxLength)
}

// ElementsBefore returns the elements before the bulk string that is too long. b is the input that was checked.
func (e *BulkTooLongError) ElementsBefore(b []byte) (elements [][]byte) {
	_, at, _ := readLength(b, 0, '*')
	for range e.Index {
		size, start, _ := readLength(b, at, '$')
		elements = append(elements, b[start:start+size])
		at = start + size + 2
	}
	return elements
}

// The texts of these errors are part of replies to clients.
var (
	errLengthLine  = errors.New("protocol error: a length line is broken")
	errBulkEnd     = errors.New("protocol error: a bulk string does not end where its length says")
	errArrayLength = errors.New("protocol error: not an array of so many bulk strings")
)

// CheckArray returns the length n of the array of bulk strings at the start of b, or 0 while it is incomplete. An
// error means that no further bytes can make it valid, and is returned as soon as that is certain.
func (l Limits) CheckArray(b []byte) (n int, err error) {
	count, at, err := readLength(b, 0, '*')
	if err != nil || at == 0 {
		return 0, err
	}
	if count < 1 || count > l.MaxElements {
		return 0, errArrayLength
	}
	for i := range count {
		size, start, err := readLength(b, at, '$')
		if err != nil || start == 0 {
			return 0, err
		}
		if size < 0 && l.AllowNull {
			at = start
			continue
		}
		if size < 0 || size > l.MaxBulkLength {
			return 0, &BulkTooLongError{ArrayLength: count, Index: i, Length: size, Offset: start, MaxLength: l.MaxBulkLength}
		}
		end := start + size
		if len(b) > end && b[end] != '\r' || len(b) > end+1 && b[end+1] != '\n' {
			return 0, errBulkEnd
		}
		if at = end + 2; len(b) < at {
			return 0, nil
		}
	}
	return at, nil
}

// CheckBulk returns the length n of the bulk string at the start of b, like CheckArray.
func (l Limits) CheckBulk(b []byte) (n int, err error) {
	const header = "*1\r\n"
	n, err = l.CheckArray(append([]byte(header), b...))
	return max(n-len(header), 0), err
}

// readLength reads a length line at index at: the type byte kind, a number (-1 for null) and the line end. next is the
// index after the line, or 0 while it is incomplete.
func readLength(b []byte, at int, kind byte) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, nil
	}
	if b[at] != kind {
		return 0, 0, errLengthLine
	}
	digits, negative := 0, false
	for i := at + 1; i < len(b); i++ {
		switch c := b[i]; {
		case c >= '0' && c <= '9' && digits < maxLengthDigits:
			n, digits = n*10+int(c-'0'), digits+1
		case c == '-' && i == at+1:
			negative = true
		case c == '\r' && digits > 0:
			if i+1 == len(b) {
				return 0, 0, nil
			}
			if b[i+1] != '\n' || negative && n != 1 {
				return 0, 0, errLengthLine
			}
			if negative {
				n = -1
			}
			return n, i + 2, nil
		default:
			return 0, 0, errLengthLine
		}
	}
	return 0, 0, nil
}
