// Package plan defines the versioned configuration that operators publish for
// relayed requests: routes, services, organisations and limits.
package plan

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"unicode"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

type (
	// Version is the version number of a plan. A process never applies a lower version
	// than the one it has.
	Version uint64

	// Plan is a complete published configuration. It is immutable.
	Plan struct {
		Version  Version
		Services map[ident.Service]Service
		// Access determines which requests may run on routes that are not anonymous.
		Access Access
		// HasShares reports whether several organisations share the services.
		HasShares bool
		Limits    Limits
		// Ignored has an error for each entry of the configuration that has no effect as it is written.
		Ignored []error

		// hosts maps each host to its routes, longest prefix first.
		hosts map[string][]Route
	}

	// Organisation is the customer that an API key belongs to.
	Organisation struct {
		Name ident.Organisation
		// Rank overrides the rank of the route if HasRank is set; 0 is the highest.
		Rank    int
		HasRank bool
	}

	// Holder is an organisation with the API keys that it holds.
	Holder struct {
		Organisation
		Keys []string
	}

	// Limits bounds the size of callers' requests and the time to wait for them.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout clock.Millis
		IdleTimeout   clock.Millis
	}

	// Service is a pool of interchangeable endpoints.
	Service struct {
		Name        ident.Service
		HealthPath  string
		Connections int
		// ColdRate is the number of requests a second that a cold endpoint tolerates, zero if
		// there is no bound. ColdTime is how long an endpoint is cold after its start.
		ColdRate float64
		ColdTime clock.Millis
		// Engine is nil for a plain service.
		Engine *Engine
	}
)

// New returns a plan with the given version, routes, services and limits. It has no organisations, so
// that only requests on anonymous routes may run. A route without a host or a prefix has no effect, and one
// without a timeout has DefaultTimeout.
func New(version Version, routes []Route, services []Service, limits Limits) Plan {
	p := Plan{
		Version:  version,
		Services: make(map[ident.Service]Service, len(services)),
		Access:   Keyed{},
		Limits:   limits,
		hosts:    map[string][]Route{},
	}
	for _, service := range services {
		p.Services[service.Name] = service
	}
	for _, route := range routes {
		switch route.Missing() {
		case NeedHost, NeedPrefix:
			continue
		case NeedTimeout:
			route.Timeout = DefaultTimeout
		}
		p.hosts[route.Host] = append(p.hosts[route.Host], route)
	}
	for _, routes := range p.hosts {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return p
}

// WithOrganisations returns a copy of the plan with the given organisations, which are keyed by API key.
func (p Plan) WithOrganisations(keys map[string]Organisation) Plan {
	p.Access = Keyed{keys}
	p.HasShares = hasSeveral(keys)
	return p
}

// ByKey returns the organisations by their keys, and the names that can't be passed to endpoints: the keys of
// these organisations admit nobody, and neither do keys that no request can carry. Of two organisations
// with one key, the last one has it.
func ByKey(holders []Holder) (keys map[string]Organisation, unusable []ident.Organisation) {
	keys = map[string]Organisation{}
	for _, holder := range holders {
		if !IsFieldValue(string(holder.Name)) {
			unusable = append(unusable, holder.Name)
			continue
		}
		for _, key := range holder.Keys {
			if IsFieldValue(key) {
				keys[key] = holder.Organisation
			}
		}
	}
	return keys, unusable
}

// IsFieldValue reports whether the text is not empty and arrives unchanged as the value of a header field.
func IsFieldValue(text string) bool {
	return text != "" && text == strings.TrimSpace(text) && !strings.ContainsFunc(text, unicode.IsControl)
}

// WithOpenAccess returns a copy of the plan in which no request needs a key.
func (p Plan) WithOpenAccess() Plan {
	p.Access = Open{}
	p.HasShares = false
	return p
}

// WithIgnored returns a copy of the plan that lists the entries without effect.
func (p Plan) WithIgnored(ignored []error) Plan {
	p.Ignored = ignored
	return p
}

// ColdTimes returns how long endpoints are cold after their start, for the services that bound
// the requests to cold endpoints.
func (p Plan) ColdTimes() map[ident.Service]clock.Millis {
	times := map[ident.Service]clock.Millis{}
	for name, service := range p.Services {
		if service.ColdRate > 0 {
			times[name] = service.ColdTime
		}
	}
	return times
}

// hasSeveral reports whether the keys belong to more than one organisation.
func hasSeveral(keys map[string]Organisation) bool {
	var first ident.Organisation
	for _, organisation := range keys {
		if first == "" {
			first = organisation.Name
		}
		if organisation.Name != first {
			return true
		}
	}
	return false
}

// IsZero reports whether the plan is the zero value, that is, none has been read yet.
func (p Plan) IsZero() bool { return p.Version == 0 }

// Match returns the route of the host with the longest prefix that matches the path.
// It ignores the case and the port of the host.
func (p Plan) Match(host, path string) (Route, bool) {
	// SplitHostPort allocates an error for a host without a port.
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	for _, route := range p.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}
