package figures

import (
	"strings"
	"testing"
)

func TestFigures(t *testing.T) {
	m := New()
	read := m.Class("read")
	for range 812 {
		read.Count(Served)
	}
	read.Count(Failed)
	m.Class(`od"d`).Count(Refused)
	if m.Class("read") != read {
		t.Error("a class that is requested again starts from zero")
	}
	m.InFlight.Add(14)
	m.Attempts.Inc()
	m.ReloadsFailed.Inc()
	var text strings.Builder
	m.Write(&text)
	for _, want := range []string{`svc_served{class="read"} 812`, `svc_failed{class="read"} 1`, `svc_refused{class="read"} 0`,
		`svc_refused{class="od\"d"} 1`, `svc_in_flight 14`, `svc_attempts 1`, `svc_cache_nodes_known 0`,
		`svc_cache_nodes_excluded 0`, `svc_reloads_ok 0`, `svc_reloads_failed 1`} {
		if !strings.Contains("\n"+text.String(), "\n"+want+"\n") {
			t.Errorf("no line %q in\n%s", want, text.String())
		}
	}
	if m.Total(Served) != 812 || m.Total(Refused) != 1 || m.Total(Failed) != 1 {
		t.Errorf("totals: %d served, %d refused, %d failed; want 812, 1, 1", m.Total(Served), m.Total(Refused), m.Total(Failed))
	}
}
