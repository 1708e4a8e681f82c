package verify

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/flow/plan"
)

// The kinds of changes.
const (
	Added   Change = "added"
	Removed Change = "removed"
	Changed Change = "changed"
)

type (
	// Change is what happened to an entry or a field.
	Change string

	// Difference is one difference between two configurations.
	Difference struct {
		Change Change
		Kind   Kind
		Name   string
		// Field is empty for an entry that was added or removed.
		Field    string
		From, To string
	}

	// values are the fields of an entry as text.
	values map[string]string
)

// CheckSuccessor returns the findings that follow from the configuration in force.
func CheckSuccessor(inForce, next Declaration) []Finding {
	var findings []Finding
	if next.Version <= inForce.Version {
		problem := fmt.Sprintf("is never applied: version %d is in force", inForce.Version)
		findings = append(findings, Finding{LevelError, Place{Kind: KindVersion}, problem})
	}
	if inForce.RequiresKeys && !next.RequiresKeys {
		problem := "are missing: every request runs without a key, which the version in force requires"
		findings = append(findings, Finding{LevelWarning, Place{Kind: KindOrganisation, Index: -1}, problem})
	}
	return findings
}

// Diff returns the differences between two configurations, by kind and name.
func Diff(from, to Declaration) []Difference {
	return slices.Concat(
		diffEntries(KindRoute, routeValues(from), routeValues(to)),
		diffEntries(KindService, serviceValues(from), serviceValues(to)),
		diffEntries(KindOrganisation, organisationValues(from), organisationValues(to)),
		diffEntries(KindLimits, limitValues(from), limitValues(to)),
	)
}

func diffEntries(kind Kind, from, to map[string]values) []Difference {
	var differences []Difference
	names := maps.Clone(from)
	maps.Copy(names, to)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		before, wasThere := from[name]
		after, isThere := to[name]
		switch {
		case !wasThere:
			differences = append(differences, Difference{Change: Added, Kind: kind, Name: name})
		case !isThere:
			differences = append(differences, Difference{Change: Removed, Kind: kind, Name: name})
		default:
			for _, field := range slices.Sorted(maps.Keys(after)) {
				if before[field] != after[field] {
					differences = append(differences, Difference{Changed, kind, name, field, before[field], after[field]})
				}
			}
		}
	}
	return differences
}

func routeValues(declared Declaration) map[string]values {
	entries := map[string]values{}
	for _, route := range declared.Routes {
		var services []string
		for _, target := range route.Services {
			services = append(services, fmt.Sprintf("%s:%d", target.Service, target.Weight))
		}
		entries[route.Name] = values{
			string(FieldHost): route.Host, string(FieldPrefix): route.Prefix, "repeat": repeatText(route.Repeat),
			string(FieldTimeout): route.Timeout.String(), string(FieldObjective): route.Objective.String(),
			string(FieldRank): strconv.Itoa(route.Rank), string(FieldAttempts): strconv.Itoa(route.Attempts),
			"anonymous": strconv.FormatBool(route.Anonymous), string(FieldServices): strings.Join(services, ","),
		}
	}
	return entries
}

func repeatText(policy plan.RepeatPolicy) string {
	switch policy := policy.(type) {
	case plan.Idempotent:
		return "idempotent"
	case plan.Stream:
		return fmt.Sprintf("stream, resumable %t, gap %v", policy.Resumable, policy.GapObjective)
	}
	return "once"
}

func serviceValues(declared Declaration) map[string]values {
	entries := map[string]values{}
	for _, service := range declared.Services {
		entry := values{
			"healthPath": service.HealthPath, string(FieldConnections): strconv.Itoa(service.Connections), string(FieldEngine): "none",
			string(FieldColdRate): strconv.FormatFloat(service.ColdRate, 'g', -1, 64), string(FieldColdTime): service.ColdTime.String(),
		}
		if service.Engine != nil {
			entry[string(FieldEngine)] = fmt.Sprintf("%+v", *service.Engine)
		}
		entries[string(service.Name)] = entry
	}
	return entries
}

func organisationValues(declared Declaration) map[string]values {
	entries := map[string]values{}
	for _, organisation := range declared.Organisations {
		rank := "of the route"
		if organisation.HasRank {
			rank = strconv.Itoa(organisation.Rank)
		}
		var keys []string
		for _, key := range organisation.Keys {
			// Keys are secrets, so a difference shows their hashes.
			keys = append(keys, fmt.Sprintf("%08x", uint32(xxhash.Sum64String(key))))
		}
		slices.Sort(keys)
		entries[string(organisation.Name)] = values{string(FieldKeys): strings.Join(keys, ","), string(FieldRank): rank}
	}
	return entries
}

func limitValues(declared Declaration) map[string]values {
	limits := declared.Limits
	return map[string]values{"callers": {
		string(FieldHeaderBytes): strconv.Itoa(limits.HeaderBytes), string(FieldBodyBytes): strconv.FormatInt(limits.BodyBytes, 10),
		string(FieldHeaderTimeout): limits.HeaderTimeout.String(), string(FieldIdleTimeout): limits.IdleTimeout.String(),
	}}
}
