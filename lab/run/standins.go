package run

import (
	"os"
	"path/filepath"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/load"
	"minttray/lab/world"
)

// ServeStandIns runs the stand-ins of an experiment, without load or proxies, until stop is closed, and writes the proxies'
// configurations, so that a proxy can be tried by hand.
func ServeStandIns(exp *experiment.File, dir string, logf func(format string, args ...any), stop <-chan struct{}) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	writer, err := ledger.Create(filepath.Join(dir, "ledger.bin"))
	if err != nil {
		return err
	}
	defer writer.Close()
	w, err := world.New(exp, writer)
	if err != nil {
		return err
	}
	defer w.Close()
	prefillCaches(exp, w)
	for n := range exp.Proxies.Count {
		agent, err := w.Registry.NewAgent(n)
		if err != nil {
			return err
		}
		addr, err := w.ProxyAddr(n)
		if err != nil {
			return err
		}
		path, err := writeConfig(dir, exp, n, addr, agent.Addr, "", agent.List())
		if err != nil {
			return err
		}
		logf("proxy %d: BALANCER_CONFIG=%s bin/minttray, listens on %s", n, path, addr)
	}
	logf("%d caches and the origin are running; the most requested key is %016x; stop them with Ctrl-C", exp.Caches.Count, load.KeyOf(exp, 0, 0))
	<-stop
	return nil
}
