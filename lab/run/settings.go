package run

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"minttray/lab/experiment"
)

// effectNames maps the effects of an experiment to those of a proxy's settings.
var effectNames = map[string]string{"redeliverable": "read_like", "deduplicated": "idempotency_key", "at-most-once": "non_idempotent"}

// object is a JSON object.
type object = map[string]any

// Settings of every proxy that experiments do not vary.
const (
	quotaHeadroom        = 1.2 // quota of a tenant that has none configured, as a multiple of its share of the load
	beyondShareBenefit   = 0.1 // share of its benefit that an op beyond its tenant's quota keeps
	connectionDeduction  = 0.1 // price of 100 open connections to each cache, in benefit
	handshakeDeduction   = 0.1 // price of one new connection per op, in benefit
	originKind           = 2   // index of "origin" in "skus"
	connIdleMicros       = 60_000_000
	connectTimeoutMicros = 100_000
	tickMicros           = 5000
	maxOpen              = 20_000 // ops in progress
	proxySeedSpacing     = 1000   // difference between the seeds of a proxy in runs with adjacent seeds; above the number of proxies
)

// micros converts a duration to microseconds.
func micros(d experiment.Duration) int64 { return int64(d.Std() / time.Microsecond) }

// proxySettings returns the settings section of a proxy's configuration.
func proxySettings(exp *experiment.File, proxy int) object {
	categories, tenants := []object{}, []object{}
	for _, c := range exp.Categories {
		categories = append(categories, object{
			"name":              c.Name,
			"benefit":           c.Benefit,
			"effect":            effectNames[c.Effect],
			"group":             c.DedupGroup,
			"dedup-window-us":   micros(c.DedupWindow),
			"target-latency-us": micros(c.Target),
			"ttl-us":            micros(c.TTL),
		})
	}
	for _, t := range exp.Tenants {
		quota := t.Quota
		if quota == 0 {
			quota = t.Share * exp.Load.Rate * quotaHeadroom
		}
		tenants = append(tenants, object{"name": t.Name, "quota-rps": quota})
	}
	return object{
		"balancers":            exp.Proxies.Count,
		"beyond-share-benefit": beyondShareBenefit,
		"categories":           categories,
		"tenants":              tenants,
		"client-habits":        object{"marks-retry": exp.Clients.MarkRetries},
		"contract": object{
			"cold-from":      exp.Caches.ColdCapacityShare,
			"drain-grace-us": micros(exp.Rules.DrainGrace),
			"fall-multiple":  exp.Rules.OverloadFactor,
			"tip-after-us":   micros(exp.Rules.OverloadWindow),
			"warm-up-us":     micros(exp.Caches.WarmUp),
		},
		"deductions":  object{"connection": connectionDeduction, "handshake": handshakeDeduction},
		"discovery":   "push",
		"family-info": object{"mode": exp.Caches.Mode, "origin-kind": originKind},
		"limits": object{
			"cancelling":         true,
			"conn-idle-us":       connIdleMicros,
			"connect-timeout-us": connectTimeoutMicros,
			"max-open":           maxOpen,
			"max-retry-after-us": micros(exp.Rules.MaxRetryAfter),
			"most-pushes":        exp.Rules.MaxPushes,
			"retry-after":        true,
		},
		"zone":    exp.ZoneOfProxy(proxy),
		"skus":    []string{"std", "small", "origin"},
		"tick-us": tickMicros,
		"zones":   exp.Zones.Names,
	}
}

// operatorsConfig returns the text of the operators' configuration file of all proxies; empty: none is needed.
func operatorsConfig(dir string, exp *experiment.File) (text string) {
	if exp.Proxies.DoubtShare > 0 {
		text += fmt.Sprintf("[list]\ndoubt = %v\n", exp.Proxies.DoubtShare)
	}
	if exp.Proxies.PersistState {
		stateDir, _ := filepath.Abs(dir)
		text += fmt.Sprintf("[state]\ndir = %q\n", stateDir)
	}
	return text
}

// writeConfig writes the configuration file of a proxy and returns its path. control is the address of its control port, empty for
// none; initialList is the list of caches to start with.
func writeConfig(dir string, exp *experiment.File, proxy int, listen, discovery, control string, initialList object) (string, error) {
	path := filepath.Join(dir, fmt.Sprintf("proxy-%d.json", proxy))
	config := object{
		"name":      fmt.Sprintf("proxy-%d", proxy),
		"listen":    listen,
		"discovery": discovery,
		"seed":      fmt.Sprintf("%016x", exp.Seed*proxySeedSpacing+uint64(proxy)),
		"limits":    object{"cores": exp.Proxies.Cores, "memory_mb": exp.Proxies.MemoryMB, "sockets": exp.Proxies.Sockets},
		"known":     initialList,
		"settings":  proxySettings(exp, proxy),
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
