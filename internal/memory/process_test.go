package memory

import "testing"

func TestTheProcessesFiguresAreRead(t *testing.T) {
	p := ReadProcess()
	if p.Heap <= 0 || p.Stacks <= 0 || p.Collector < p.Heap+p.Stacks || p.Peak < p.Heap {
		t.Errorf("%+v", p)
	}
}
