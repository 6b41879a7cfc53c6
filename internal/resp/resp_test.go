package resp

import (
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

var testLimits = Limits{MaxElements: 5, MaxBulkLength: 100, AllowNull: true}

// Malformed input that looks incomplete must be rejected at once: a reader would wait for the rest until its timeout.
func TestBrokenIsFoundAtOnce(t *testing.T) {
	for _, text := range []string{"+", "GET k", "*0", "*6\r\n", "*-1\r\n", "*x", "*1x", "*\r", "*--", "*+1", "*1\r\r", "*1\n",
		"*1\r\n:", "*1\r\n*", "*1\r\n$101\r\n", "*1\r\n$-2\r\n", "*1\r\n$- ", "*1\r\n$1\r\nab", "*1\r\n$1\r\na\ra",
		"*1\r\n$3000000000", "*" + strings.Repeat("0", 10)} {
		n, err := testLimits.CheckArray([]byte(text))
		if strings.HasPrefix(text, "*0") && len(text) == 2 {
			n, err = testLimits.CheckArray([]byte(text + "\r\n"))
		}
		if n != 0 || err == nil {
			t.Errorf("%q: got length %d and error %v, want an error", text, n, err)
		}
	}
	if _, err := (Limits{MaxElements: 1, MaxBulkLength: 9}).CheckArray([]byte("*1\r\n$-1\r\n")); err == nil {
		t.Error("null bulk string accepted without AllowNull")
	}
}

// Every proper prefix of a valid array is incomplete, and bytes behind the array are not part of it.
func TestWholeAndHalf(t *testing.T) {
	whole := "*4\r\n$3\r\nabc\r\n$0\r\n\r\n$-1\r\n$2\r\n\r\n\r\n"
	for i := range whole {
		if n, err := testLimits.CheckArray([]byte(whole[:i])); n != 0 || err != nil {
			t.Errorf("%q: got length %d and error %v, want incomplete", whole[:i], n, err)
		}
	}
	if n, err := testLimits.CheckArray([]byte(whole + "*more")); n != len(whole) || err != nil {
		t.Errorf("got length %d and error %v, want length %d", n, err, len(whole))
	}
}

// An array reported as complete must end at the same byte for redcon, and an error must persist when more bytes follow.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{"*1\r\n$4\r\nPING\r\n", "*2\r\n$-1\r\n$1\r\nv\r\nrest", "*1\r\n$9999999999\r\n", "-ERR x\r\n", "*-1\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := testLimits.CheckArray(b)
		if n > len(b) || n > 0 && err != nil {
			t.Fatalf("length %d of %d bytes, error %v", n, len(b), err)
		}
		if n > 0 {
			if read, reply := redcon.ReadNextRESP(b); read != n || reply.Type != redcon.Array {
				t.Errorf("%q: length %d, redcon reads %d", b, n, read)
			}
		}
		if err != nil {
			if longer, longerErr := testLimits.CheckArray(append(b[:len(b):len(b)], "1\r\n$1\r\n"...)); longer != 0 || longerErr == nil {
				t.Errorf("%q: invalid, but accepted with more bytes", b)
			}
		}
	})
}
