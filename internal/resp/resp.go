// Package resp holds the strict form of RESP2 arrays. redcon's parsers report much that is broken as incomplete, and
// whoever believes them waits for a rest that never comes. Check runs ahead of them: what it calls whole they can read.
package resp

import (
	"errors"
	"fmt"
)

const mostDigits = 9 // of a length: more can only be nonsense, and a line without end is found out early

// Limits is what may come.
type Limits struct {
	MaxElements   int  // at most, and one at least
	MaxBulkLength int  // bulk string
	AllowNull    bool // a bulk string may be null
}

// BulkTooLongError is a bulk string longer than the form allows. What stands before it is whole and in the form.
type BulkTooLongError struct {
	ArrayLength, Index int // of the array; from 0
	Length, Offset  int // its length, below 0 for nonsense; where it begins
	MaxLength     int
}

func (l *BulkTooLongError) Error() string {
	return fmt.Sprintf("protocol error: a bulk string of %d bytes, at most %d", l.Length, l.MaxLength)
}

// Before gives the words ahead of it, which stand at the start of b.
func (l *BulkTooLongError) Before(b []byte) (words [][]byte) {
	_, at, _ := length(b, 0, '*')
	for range l.Index {
		size, from, _ := length(b, at, '$')
		words = append(words, b[from:from+size])
		at = from + size + 2
	}
	return words
}

var (
	errLine   = errors.New("protocol error: a length line is broken")
	errBulk   = errors.New("protocol error: a bulk string does not end where its length says")
	errNumber = errors.New("protocol error: not an array of so many bulk strings")
)

// CheckArray finds the end of the array of bulk strings at the start of b. n is 0 while some of it is missing; an error
// means that no rest can make it whole, and is given as soon as that is certain.
func (f Limits) CheckArray(b []byte) (n int, err error) {
	count, at, err := length(b, 0, '*')
	if err != nil || at == 0 {
		return 0, err
	}
	if count < 1 || count > f.MaxElements {
		return 0, errNumber
	}
	for i := range count {
		size, from, err := length(b, at, '$')
		if err != nil || from == 0 {
			return 0, err
		}
		if size < 0 && f.AllowNull {
			at = from
			continue
		}
		if size < 0 || size > f.MaxBulkLength {
			return 0, &BulkTooLongError{ArrayLength: count, Index: i, Length: size, Offset: from, MaxLength: f.MaxBulkLength}
		}
		end := from + size
		if len(b) > end && b[end] != '\r' || len(b) > end+1 && b[end+1] != '\n' {
			return 0, errBulk
		}
		if at = end + 2; len(b) < at {
			return 0, nil
		}
	}
	return at, nil
}

// CheckBulk finds the end of one bulk string at the start of b, as Check does of an array.
func (f Limits) CheckBulk(b []byte) (n int, err error) {
	const one = "*1\r\n"
	n, err = f.CheckArray(append([]byte(one), b...))
	return max(n-len(one), 0), err
}

// length reads a type's byte, a number (-1 for null) and the line's end; next is 0 while some of it is missing.
func length(b []byte, at int, kind byte) (n, next int, err error) {
	if at >= len(b) {
		return 0, 0, nil
	}
	if b[at] != kind {
		return 0, 0, errLine
	}
	digits, negative := 0, false
	for i := at + 1; i < len(b); i++ {
		switch c := b[i]; {
		case c >= '0' && c <= '9' && digits < mostDigits:
			n, digits = n*10+int(c-'0'), digits+1
		case c == '-' && i == at+1:
			negative = true
		case c == '\r' && digits > 0:
			if i+1 == len(b) {
				return 0, 0, nil
			}
			if b[i+1] != '\n' || negative && n != 1 {
				return 0, 0, errLine
			}
			if negative {
				n = -1
			}
			return n, i + 2, nil
		default:
			return 0, 0, errLine
		}
	}
	return 0, 0, nil
}
