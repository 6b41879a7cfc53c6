package figures

import (
	"strings"
	"testing"
)

func TestFigures(t *testing.T) {
	b := New()
	read := b.Class("read")
	for range 812 {
		read.Count(Served)
	}
	read.Count(Failed)
	b.Class(`od"d`).Count(Refused)
	if b.Class("read") != read {
		t.Error("a class that returns begins anew")
	}
	b.InFlight.Add(14)
	b.Attempts.Inc()
	b.ReloadsFailed.Inc()
	var out strings.Builder
	b.Write(&out)
	for _, want := range []string{`svc_served{class="read"} 812`, `svc_failed{class="read"} 1`, `svc_refused{class="read"} 0`,
		`svc_refused{class="od\"d"} 1`, `svc_in_flight 14`, `svc_attempts 1`, `svc_cache_nodes_known 0`,
		`svc_cache_nodes_excluded 0`, `svc_reloads_ok 0`, `svc_reloads_failed 1`} {
		if !strings.Contains("\n"+out.String(), "\n"+want+"\n") {
			t.Errorf("no line %q in\n%s", want, out.String())
		}
	}
	if b.Total(Served) != 812 || b.Total(Refused) != 1 || b.Total(Failed) != 1 {
		t.Error("sums differ from the classes")
	}
}
