// Package plan holds the configuration that operators publish for relayed
// requests: routes, services, organisations and limits of one version.
package plan

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

type (
	// Version orders plans. A process never goes back to a lower one.
	Version uint64

	// Plan is one whole published configuration. It is immutable.
	Plan struct {
		Version       Version
		Services      map[ident.Service]Service
		Organisations map[string]Organisation
		Limits        Limits

		// hosts holds the routes of each host, longest prefix first.
		hosts map[string][]Route
	}

	// Organisation is the customer that an API key belongs to.
	Organisation struct {
		Name ident.Organisation
		// Rank goes before the rank of a route when HasRank is set; 0 is the highest.
		Rank    int
		HasRank bool
	}

	// Limits bound what a caller may send and how long it may take.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout clock.Millis
		IdleTimeout   clock.Millis
	}

	// Service is a pool of endpoints that run requests alike.
	Service struct {
		Name        ident.Service
		HealthPath  string
		Connections int
		// Engine is nil for a plain service.
		Engine *Engine
	}
)

// New returns a plan of the version with the routes.
func New(version Version, routes []Route, services []Service, limits Limits) Plan {
	p := Plan{
		Version:       version,
		Services:      make(map[ident.Service]Service, len(services)),
		Organisations: map[string]Organisation{},
		Limits:        limits,
		hosts:         map[string][]Route{},
	}
	for _, service := range services {
		p.Services[service.Name] = service
	}
	for _, route := range routes {
		p.hosts[route.Host] = append(p.hosts[route.Host], route)
	}
	for _, routes := range p.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return p
}

// WithOrganisations returns the plan with the organisations, by API key.
func (p Plan) WithOrganisations(keys map[string]Organisation) Plan {
	p.Organisations = keys
	return p
}

// IsZero reports whether no plan is known.
func (p Plan) IsZero() bool { return p.Version == 0 }

// HasKeys reports whether routes that are not anonymous need an API key.
func (p Plan) HasKeys() bool { return len(p.Organisations) > 0 }

// Match returns the route of the host whose prefix is the longest that begins
// the path.
func (p Plan) Match(host, path string) (Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, route := range p.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}
