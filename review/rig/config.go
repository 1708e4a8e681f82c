//go:build review

package main

// limits are those of the wire examples on the users' pages.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// plainRoute is a route to a plain service; kind is safe or unsafe.
func plainRoute(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "prefix": prefix, "route_type": kind, "timeout_ms": 3000, "target_latency_ms": 300,
		"priority": 2, "service": service, "max_attempts": attempts, "anonymous": false, "affinity": false, "resumable": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 214, "protocol": "h1", "tls": false}
}
