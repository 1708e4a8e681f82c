package verify

import (
	"fmt"
	"slices"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/plan"
)

func (c *checker) checkOrganisations() {
	names := map[ident.Organisation]bool{}
	holders := map[string]int{}
	for i, organisation := range c.declared.Organisations {
		at := func(field Field) Place { return Place{KindOrganisation, i, field} }
		if names[organisation.Name] {
			c.fail(at(FieldName), problemDuplicateName)
		}
		names[organisation.Name] = true
		if organisation.Name != "" && !plan.IsFieldValue(string(organisation.Name)) {
			c.fail(at(FieldName), "can't be passed to endpoints: its keys admit nobody")
		}
		if organisation.HasRank && organisation.Rank < 0 {
			c.fail(at(FieldRank), problemNegative)
		}
		if len(organisation.Keys) == 0 {
			c.warn(at(FieldKeys), "admits nobody: it is empty")
		}
		c.checkKeys(i, organisation, holders)
	}
	needsKey := slices.ContainsFunc(c.declared.Routes, func(route plan.Route) bool { return !route.Anonymous })
	if c.declared.RequiresKeys && len(holders) == 0 && needsKey {
		c.warn(Place{Kind: KindOrganisation, Index: -1}, "have no key: every request on a route that needs one is refused")
	}
}

// checkKeys checks the keys of an organisation. holders has the first organisation that holds each key.
func (c *checker) checkKeys(index int, organisation plan.Holder, holders map[string]int) {
	at := Place{KindOrganisation, index, FieldKeys}
	for number, key := range organisation.Keys {
		if !plan.IsFieldValue(key) {
			c.fail(at, fmt.Sprintf("has a key that no request can carry, the one at %d", number))
			continue
		}
		holder, isHeld := holders[key]
		switch {
		case !isHeld:
			holders[key] = index
		case holder == index:
			c.warn(at, fmt.Sprintf("has the key at %d twice", number))
		default:
			c.fail(at, fmt.Sprintf("has a key that another organisation holds too, the one at %d", number))
		}
	}
}
