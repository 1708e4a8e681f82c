package main

import "encoding/json"

const (
	host       = "ficu95.example"
	serviceApp = "wuno96b"
	serviceLLM = "huvo11a"

	prefixPay     = "/puxa403/"
	pathPay       = prefixPay + "2f"
	prefixDossier = "/lohu930/"
	pathDossier   = prefixDossier + "2f"

	configKey   = "op/config"
	keyEvacuate = "op/evacuate/"
	// keyFlood is the key of the organisation that sends more than the others.
	keyFlood = "key-of-hule930"
)

var (
	zoneNames = []string{"nbo-westlands", "nbo-eastleigh", "nbo-karen"}
	// largest and smallest are the largest and the smallest machine of the site.
	largest  = limits{536, 8192, 0.8}
	smallest = limits{136, 2870, 0.134}
	// cork is a machine of the site cork-snowdesk.
	cork = limits{206, 2940, 0.272}
)

// configure returns a configuration as the operator publishes it.
func configure(version int, routes, services []object, keys []string) []byte {
	text, err := json.Marshal(object{
		"version": version, "routes": routes, "services": services,
		"limits": object{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []object{
			{"name": "hule930", "api_keys": []string{keyFlood}, "priority": 1},
			{"name": "moxa112", "api_keys": keys, "priority": 1},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// payRoute returns the route of payments, which go to the plain service.
func payRoute(timeoutMillis int) object {
	return object{
		"name": "r-pay", "host": host, "prefix": prefixPay, "route_type": "unsafe", "timeout_ms": timeoutMillis, "target_latency_ms": 300,
		"priority": 2, "service": serviceApp, "max_attempts": 1, "anonymous": false,
	}
}

// plainService returns the plain service.
func plainService() object {
	return object{
		"name": serviceApp, "health_path": "/health", "max_conns": 931, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
		"cold_per_s": 0.0,
	}
}

// dossierRoute returns the route of the largest prompts.
func dossierRoute() object {
	return object{
		"name": "r-dossier", "host": host, "prefix": prefixDossier, "route_type": "streaming", "timeout_ms": 15000,
		"target_latency_ms": 8000, "priority": 2, "service": serviceLLM, "max_attempts": 2, "anonymous": false, "affinity": true,
		"resumable": true, "gap_aim_ms": 800,
	}
}

// engineService returns the service of model runners.
func engineService() object {
	return object{
		"name": serviceLLM, "health_path": "/health", "max_conns": 1088, "protocol": "h1", "tls": false, "cold_start_s": 0.0,
		"cold_per_s": 0.0,
		"engine": object{
			"slots": 12, "kv_tokens": 450000, "kv_bytes": 327680, "link_mbps": 400000.0, "stride": 52, "models": []object{{"name": "m"}},
			"step_ms": 0.925, "per_seq_ms": 0.00483, "context_per_k": 0.00254, "read_per_s": 256000.0, "pairs_per_m": 0.0917,
			"chunk": 2048, "report_lag_ms": 200.0, "usual": object{"prompt": 15637, "answer": 1608}, "hop_ms": 0.1,
		},
	}
}
