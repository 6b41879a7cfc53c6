package resp

import (
	"strings"
	"testing"

	"github.com/tidwall/redcon"
)

var form = Limits{MaxElements: 5, MaxBulkLength: 100, AllowNull: true}

// Danger: what is broken but looks unfinished is waited for until its time is up.
func TestBrokenIsFoundAtOnce(t *testing.T) {
	for _, text := range []string{"+", "GET k", "*0", "*6\r\n", "*-1\r\n", "*x", "*1x", "*\r", "*--", "*+1", "*1\r\r", "*1\n",
		"*1\r\n:", "*1\r\n*", "*1\r\n$101\r\n", "*1\r\n$-2\r\n", "*1\r\n$- ", "*1\r\n$1\r\nab", "*1\r\n$1\r\na\ra",
		"*1\r\n$3000000000", "*" + strings.Repeat("0", 10)} {
		n, err := form.CheckArray([]byte(text))
		if strings.HasPrefix(text, "*0") && len(text) == 2 {
			n, err = form.CheckArray([]byte(text + "\r\n"))
		}
		if n != 0 || err == nil {
			t.Errorf("%q: %d, %v", text, n, err)
		}
	}
	if _, err := (Limits{MaxElements: 1, MaxBulkLength: 9}).CheckArray([]byte("*1\r\n$-1\r\n")); err == nil {
		t.Error("a null where none may be")
	}
}

func TestWholeAndHalf(t *testing.T) {
	whole := "*4\r\n$3\r\nabc\r\n$0\r\n\r\n$-1\r\n$2\r\n\r\n\r\n"
	for i := range whole {
		if n, err := form.CheckArray([]byte(whole[:i])); n != 0 || err != nil {
			t.Errorf("%q: %d, %v", whole[:i], n, err)
		}
	}
	if n, err := form.CheckArray([]byte(whole + "*more")); n != len(whole) || err != nil {
		t.Errorf("%d, %v", n, err)
	}
}

// What is called whole is so for redcon too, up to the same byte, and an error never goes away with more bytes.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{"*1\r\n$4\r\nPING\r\n", "*2\r\n$-1\r\n$1\r\nv\r\nrest", "*1\r\n$9999999999\r\n", "-ERR x\r\n", "*-1\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		n, err := form.CheckArray(b)
		if n > len(b) || n > 0 && err != nil {
			t.Fatalf("%d, %v", n, err)
		}
		if n > 0 {
			if read, reply := redcon.ReadNextRESP(b); read != n || reply.Type != redcon.Array {
				t.Errorf("%q: %d here, %d there", b, n, read)
			}
		}
		if err != nil {
			if m, again := form.CheckArray(append(b[:len(b):len(b)], "1\r\n$1\r\n"...)); m != 0 || again == nil {
				t.Errorf("%q: broken, and whole with more", b)
			}
		}
	})
}
