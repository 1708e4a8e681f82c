package verify

import (
	"fmt"
	"strings"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/plan"
)

func (c *checker) checkRoutes() {
	type match struct{ host, prefix string }
	names := map[string]bool{}
	first := map[match]int{}
	for i, route := range c.declared.Routes {
		at := func(field Field) Place { return Place{KindRoute, i, field} }
		if names[route.Name] {
			c.fail(at(FieldName), problemDuplicateName)
		}
		names[route.Name] = true
		key := match{strings.ToLower(route.Host), route.Prefix}
		if earlier, isShadowed := first[key]; isShadowed {
			c.fail(at(FieldPrefix), fmt.Sprintf("can never match: routes[%d] has the same host and prefix", earlier))
		} else {
			first[key] = i
		}
		c.checkMatch(route, at)
		c.checkTimes(route, at)
		c.checkTargets(route, at)
	}
}

// checkMatch checks that a request can match the route.
func (c *checker) checkMatch(route plan.Route, at func(Field) Place) {
	switch {
	case route.Host == "":
		c.fail(at(FieldHost), "can never match: it is empty")
	case strings.ContainsAny(route.Host, ":/ \t"):
		c.fail(at(FieldHost), "can never match: it is not the name of a host, without a port")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		c.fail(at(FieldPrefix), "must begin and end with a slash")
	}
}

// checkTimes checks the times, the attempts and the rank of the route.
func (c *checker) checkTimes(route plan.Route, at func(Field) Place) {
	if route.Timeout <= 0 {
		c.fail(at(FieldTimeout), problemNotPositive)
	} else if route.Objective > route.Timeout {
		c.fail(at(FieldObjective), problemOverTimeout)
	}
	if route.Objective < 0 {
		c.fail(at(FieldObjective), problemNegative)
	}
	if stream, isStream := route.Repeat.(plan.Stream); isStream && route.Timeout > 0 && stream.GapObjective > route.Timeout {
		c.fail(at(FieldGapObjective), problemOverTimeout)
	}
	if route.Rank < 0 {
		c.fail(at(FieldRank), problemNegative)
	}
	if route.Attempts > 1 && !route.IsRepeatable() {
		c.warn(at(FieldAttempts), "has no effect: requests that may have run are not sent again on this route")
	}
}

// checkTargets checks the services of the route.
func (c *checker) checkTargets(route plan.Route, at func(Field) Place) {
	declared := map[ident.Service]bool{}
	for _, service := range c.declared.Services {
		declared[service.Name] = true
	}
	total := 0
	for _, target := range route.Services {
		total += max(target.Weight, 0)
		switch {
		case !declared[target.Service]:
			c.fail(at(FieldServices), fmt.Sprintf("names the service %q, which is not declared", target.Service))
		case target.Weight < 0:
			c.fail(at(FieldServices), fmt.Sprintf("gives the service %q a negative weight", target.Service))
		case target.Weight == 0 && len(route.Services) > 1:
			c.warn(at(FieldServices), fmt.Sprintf("never chooses the service %q: its weight is 0", target.Service))
		}
	}
	if total == 0 {
		c.fail(at(FieldServices), "leads to no service")
	}
}
