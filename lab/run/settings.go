package run

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"minttray/lab/experiment"
)

var effects = map[string]string{"redeliverable": "read_like", "deduplicated": "idempotency_key", "at-most-once": "non_idempotent"}

type object = map[string]any

func us(s experiment.Duration) int64 { return int64(s.Std() / time.Microsecond) }

// settings is the deployment as proxies are told it.
func settings(x *experiment.File, n int) object {
	categories, tenants := []object{}, []object{}
	for _, c := range x.Categories {
		categories = append(categories, object{"name": c.Name, "benefit": c.Benefit, "effect": effects[c.Effect], "group": c.DedupGroup,
			"dedup-window-us": us(c.DedupWindow), "target-latency-us": us(c.Target), "ttl-us": us(c.TTL)})
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
		"contract": object{"cold-from": x.Caches.ColdFrom, "drain-grace-us": us(x.Rules.Grace), "fall-multiple": x.Rules.FallMultiple,
			"tip-after-us": us(x.Rules.TipAfter), "warm-up-us": us(x.Caches.WarmUp)},
		"deductions": object{"connection": 0.1, "handshake": 0.1}, "discovery": "push",
		"family-info": object{"mode": x.Caches.Mode, "origin-kind": 2},
		"limits": object{"cancelling": true, "conn-idle-us": 60_000_000, "connect-timeout-us": 100_000, "max-open": 20_000,
			"max-retry-after-us": us(x.Rules.MaxRetryAfter), "most-pushes": x.Rules.MostPushes, "retry-after": true},
		"zone": x.ZoneOf(n),
		"skus": []string{"std", "small", "origin"}, "tick-us": 5000, "zones": x.Zones.Names,
	}
}

// operators is the operators' file of all proxies; empty: they have none.
func operators(dir string, x *experiment.File) (text string) {
	if x.Proxies.Doubt > 0 {
		text += fmt.Sprintf("[list]\ndoubt = %v\n", x.Proxies.Doubt)
	}
	if x.Proxies.Learned {
		abs, _ := filepath.Abs(dir)
		text += fmt.Sprintf("[state]\ndir = %q\n", abs)
	}
	return text
}

// configure writes a proxy's configuration.
func configure(dir string, x *experiment.File, n int, listen, discovery, control string, known object) (string, error) {
	path := filepath.Join(dir, fmt.Sprintf("proxy-%d.json", n))
	all := object{
		"name": fmt.Sprintf("proxy-%d", n), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", x.Seed*1000+uint64(n)),
		"limits": object{"cores": x.Proxies.Cores, "memory_mb": x.Proxies.MemoryMB, "sockets": x.Proxies.Sockets},
		"known":  known, "settings": settings(x, n),
	}
	if control != "" {
		all["control"] = control
	}
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return "", err
	}
	return path, os.WriteFile(path, text, 0o644)
}
