package run

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"minttray/lab/experiment"
)

var effectNames = map[string]string{"redeliverable": "read_like", "deduplicated": "idempotency_key", "at-most-once": "non_idempotent"}

type object = map[string]any

func micros(s experiment.Duration) int64 { return int64(s.Std() / time.Microsecond) }

// settings is the deployment as proxies are told it.
func proxySettings(x *experiment.File, n int) object {
	categories, tenants := []object{}, []object{}
	for _, c := range x.Categories {
		categories = append(categories, object{"name": c.Name, "benefit": c.Benefit, "effect": effectNames[c.Effect], "group": c.DedupGroup,
			"dedup-window-us": micros(c.DedupWindow), "target-latency-us": micros(c.Target), "ttl-us": micros(c.TTL)})
	}
	for _, t := range x.Tenants {
		quota := t.Quota
		if quota == 0 {
			quota = t.Share * x.Load.Rate * 1.2
		}
		tenants = append(tenants, object{"name": t.Name, "quota-rps": quota})
	}
	return object{
		"balancers": x.Proxies.Count, "beyond-share-benefit": 0.1, "categories": categories, "tenants": tenants,
		"client-habits": object{"marks-retry": x.Clients.MarkRetries},
		"contract": object{"cold-from": x.Caches.ColdCapacityShare, "drain-grace-us": micros(x.Rules.DrainGrace), "fall-multiple": x.Rules.OverloadFactor,
			"tip-after-us": micros(x.Rules.OverloadWindow), "warm-up-us": micros(x.Caches.WarmUp)},
		"deductions": object{"connection": 0.1, "handshake": 0.1}, "discovery": "push",
		"family-info": object{"mode": x.Caches.Mode, "origin-kind": 2},
		"limits": object{"cancelling": true, "conn-idle-us": 60_000_000, "connect-timeout-us": 100_000, "max-open": 20_000,
			"max-retry-after-us": micros(x.Rules.MaxRetryAfter), "most-pushes": x.Rules.MaxPushes, "retry-after": true},
		"zone": x.ZoneOfProxy(n),
		"skus": []string{"std", "small", "origin"}, "tick-us": 5000, "zones": x.Zones.Names,
	}
}

// operators is the operators' file of all proxies; empty: they have none.
func operatorsConfig(dir string, x *experiment.File) (text string) {
	if x.Proxies.DoubtShare > 0 {
		text += fmt.Sprintf("[list]\ndoubt = %v\n", x.Proxies.DoubtShare)
	}
	if x.Proxies.PersistState {
		stateDir, _ := filepath.Abs(dir)
		text += fmt.Sprintf("[state]\ndir = %q\n", stateDir)
	}
	return text
}

// configure writes a proxy's configuration.
func writeConfig(dir string, x *experiment.File, n int, listen, discovery, control string, known object) (string, error) {
	path := filepath.Join(dir, fmt.Sprintf("proxy-%d.json", n))
	config := object{
		"name": fmt.Sprintf("proxy-%d", n), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", x.Seed*1000+uint64(n)),
		"limits": object{"cores": x.Proxies.Cores, "memory_mb": x.Proxies.MemoryMB, "sockets": x.Proxies.Sockets},
		"known":  known, "settings": proxySettings(x, n),
	}
	if control != "" {
		config["control"] = control
	}
	text, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, text, 0o644)
}
