package run

import (
	"os"
	"path/filepath"

	"minttray/lab/experiment"
	"minttray/lab/ledger"
	"minttray/lab/load"
	"minttray/lab/world"
)

// Stand puts a world up without load or proxies, writes the proxies' configurations, and waits for the word to stop:
// to try a proxy by hand.
func ServeStandIns(x *experiment.File, dir string, logf func(format string, args ...any), stop <-chan struct{}) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	writer, err := ledger.Create(filepath.Join(dir, "ledger.bin"))
	if err != nil {
		return err
	}
	defer writer.Close()
	w, err := world.New(x, writer)
	if err != nil {
		return err
	}
	defer w.Close()
	prefillCaches(x, w)
	for n := range x.Proxies.Count {
		a, err := w.Registry.NewAgent(n)
		if err != nil {
			return err
		}
		addr, err := w.ProxyAddr(n)
		if err != nil {
			return err
		}
		path, err := writeConfig(dir, x, n, addr, a.Addr, "", a.List())
		if err != nil {
			return err
		}
		logf("proxy %d: BALANCER_CONFIG=%s bin/minttray, listens on %s", n, path, addr)
	}
	logf("%d caches and the origin are up; the most asked key is %016x; Ctrl-C ends them", x.Caches.Count, load.KeyOf(x, 0, 0))
	<-stop
	return nil
}
