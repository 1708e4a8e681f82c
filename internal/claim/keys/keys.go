// Package keys mints and parses idempotency keys and determines the home failure domain
// of a key, whose witnesses store its claim.
package keys

import (
	"strconv"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
)

const (
	mintedPrefix   = "mh1"
	separator      = "."
	mintedFields   = 4
	timeBase       = 36
	scopeSeparator = "\x00"
)

type (
	// Minted holds the fields of a key that an entry minted: the failure domain that
	// is its home and the time of minting.
	Minted struct {
		Domain ident.Domain
		At     clock.Millis
	}
)

// Mint returns a new key whose home is the failure domain. The random number makes
// keys of the same domain and millisecond distinct.
func Mint(domain ident.Domain, at clock.Millis, random uint64) string {
	fields := []string{
		mintedPrefix, string(domain),
		strconv.FormatInt(int64(at), timeBase), strconv.FormatUint(random, timeBase),
	}
	return strings.Join(fields, separator)
}

// Parse parses a minted key. It returns false for keys that no entry minted. The name
// of a failure domain may contain separators.
func Parse(key string) (Minted, bool) {
	fields := strings.Split(key, separator)
	last := len(fields) - 1
	if last < mintedFields-1 || fields[0] != mintedPrefix {
		return Minted{}, false
	}
	at, err := strconv.ParseInt(fields[last-1], timeBase, 64)
	if err != nil {
		return Minted{}, false
	}
	domain := strings.Join(fields[1:last-1], separator)
	return Minted{Domain: ident.Domain(domain), At: clock.Millis(at)}, true
}

// Scope returns the name under which a key is claimed. It includes the organisation
// and the service, so that equal keys of different callers do not collide.
func Scope(organisation ident.Organisation, service ident.Service, key string) string {
	return string(organisation) + scopeSeparator + string(service) + scopeSeparator + key
}

// Home returns the home failure domain of a key. The result depends on the declared
// endpoints alone and never on which entries are live, so that all entries agree on
// it. Home returns false if there are no endpoints.
func Home(scope, key string, endpoints []fleet.Endpoint) (ident.Domain, bool) {
	var domains []ident.Domain
	declared := map[ident.Domain]bool{}
	for _, endpoint := range endpoints {
		if !declared[endpoint.Domain] {
			declared[endpoint.Domain] = true
			domains = append(domains, endpoint.Domain)
		}
	}
	if minted, ok := Parse(key); ok && declared[minted.Domain] {
		return minted.Domain, true
	}
	if len(domains) == 0 {
		return "", false
	}
	return ident.Rank(scope, domains)[0], true
}
