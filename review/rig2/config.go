package main

import "encoding/json"

const (
	host      = "ficu95.example"
	key       = "n2ctnfzs989anu6wsjnb"
	modelName = "huvo11a"
	appName   = "wuno96b"
)

// config returns a configuration like that of the page on the wire.
func config(version int) string {
	route := func(name, prefix, kind, service string, timeout, aim, priority, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": aim,
			"priority": priority, "service": service, "max_attempts": attempts, "anonymous": false,
		}
	}
	stream := func(name, prefix string, timeout, aim, gap int) map[string]any {
		r := route(name, prefix, "streaming", modelName, timeout, aim, 1, 2)
		r["affinity"], r["resumable"], r["gap_aim_ms"] = true, true, gap
		return r
	}
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			stream("r-short", "/short/", 10000, 300, 250), stream("r-review", "/review/", 10000, 1500, 600),
			stream("r-dossier", "/dossier/", 15000, 3000, 1000),
			route("r-book", "/book/", "unsafe", appName, 1500, 100, 2, 1), route("r-board", "/board/", "safe", appName, 1500, 100, 2, 2),
		},
		"services": []any{
			map[string]any{"name": modelName, "health_path": "/health", "max_conns": 909, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kv_tokens": 315000, "kv_bytes": 163840, "link_mbps": 400000.0, "stride": 51, "models": []any{map[string]any{"name": "m"}},
				"step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
				"report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 11094, "answer": 1622},
				"hop_ms": 0.05,
			}},
			map[string]any{"name": appName, "health_path": "/health", "max_conns": 214, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []any{key}, "priority": 1}},
	})
	return string(text)
}
