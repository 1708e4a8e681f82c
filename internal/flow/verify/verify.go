// Package verify checks a configuration before it is published. It finds entries that can never take
// effect and limits that contradict each other, and compares the configuration with the one in force.
package verify

import (
	"cmp"
	"slices"

	"mustardhook/internal/flow/plan"
)

// The levels of findings.
const (
	// LevelError marks an entry that is refused or does not do what it says.
	LevelError Level = "error"
	// LevelWarning marks an entry that has no effect.
	LevelWarning Level = "warning"
)

// The fields that findings name.
const (
	FieldWhole         Field = ""
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldServices      Field = "services"
	FieldTimeout       Field = "timeout"
	FieldObjective     Field = "objective"
	FieldGapObjective  Field = "gapObjective"
	FieldAttempts      Field = "attempts"
	FieldRank          Field = "rank"
	FieldConnections   Field = "connections"
	FieldEngine        Field = "engine"
	FieldColdRate      Field = "coldRate"
	FieldColdTime      Field = "coldTime"
	FieldKeys          Field = "keys"
	FieldHeaderTimeout Field = "headerTimeout"
	FieldHeaderBytes   Field = "headerBytes"
	FieldBodyBytes     Field = "bodyBytes"
	FieldIdleTimeout   Field = "idleTimeout"
)

// The kinds of entries.
const (
	KindRoute        Kind = "route"
	KindService      Kind = "service"
	KindOrganisation Kind = "organisation"
	KindLimits       Kind = "limits"
	KindVersion      Kind = "version"
)

const (
	problemNegative      = "must not be negative"
	problemNotPositive   = "must be positive"
	problemOverTimeout   = "exceeds the timeout of the route"
	problemDuplicateName = "is the name of an earlier entry"
)

type (
	// Level is the severity of a finding.
	Level string

	// Kind is the kind of an entry of a configuration.
	Kind string

	// Field is a field of an entry.
	Field string

	// Declaration is a configuration as it is written, with its entries in their order.
	Declaration struct {
		Version  plan.Version
		Routes   []plan.Route
		Services []plan.Service
		// RequiresKeys reports whether requests need the key of an organisation.
		RequiresKeys  bool
		Organisations []plan.Holder
		Limits        plan.Limits
	}

	// Place is the entry and the field that a finding is about.
	Place struct {
		Kind Kind
		// Index counts the entries of the kind from zero.
		Index int
		Field Field
	}

	// Finding is a problem of a configuration.
	Finding struct {
		Level   Level
		Place   Place
		Problem string
	}

	// checker collects the findings on a declaration.
	checker struct {
		declared Declaration
		findings []Finding
	}
)

// Check returns the findings on a configuration, errors first.
func Check(declared Declaration) []Finding {
	c := &checker{declared: declared}
	if declared.Version == 0 {
		c.fail(Place{Kind: KindVersion}, problemNotPositive)
	}
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Level, b.Level) })
	return c.findings
}

func (c *checker) fail(at Place, problem string) {
	c.findings = append(c.findings, Finding{LevelError, at, problem})
}

func (c *checker) warn(at Place, problem string) {
	c.findings = append(c.findings, Finding{LevelWarning, at, problem})
}

func (c *checker) checkLimits() {
	limits := c.declared.Limits
	for _, limit := range []struct {
		field Field
		value int64
	}{
		{FieldHeaderBytes, int64(limits.HeaderBytes)},
		{FieldBodyBytes, limits.BodyBytes},
		{FieldHeaderTimeout, int64(limits.HeaderTimeout)},
		{FieldIdleTimeout, int64(limits.IdleTimeout)},
	} {
		if limit.value < 0 {
			c.fail(Place{Kind: KindLimits, Field: limit.field}, problemNegative)
		}
	}
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.warn(Place{Kind: KindLimits, Field: FieldHeaderTimeout}, "exceeds the idle timeout")
	}
}
