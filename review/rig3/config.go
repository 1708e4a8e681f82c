package main

import "encoding/json"

const (
	host       = "ficu95.example"
	serviceApp = "wuno96b"

	prefixPay = "/puxa403/"
	pathPay   = prefixPay + "2f"

	configKey   = "op/config"
	keyEvacuate = "op/evacuate/"
	// keyFlood is the key that a crowd has.
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
