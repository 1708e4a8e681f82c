package plan

type (
	// Access determines which requests may run on routes that are not anonymous. It is one of Open
	// and Keyed; a plan without either admits nobody.
	Access interface{ isAccess() }

	// Open admits every request, without an organisation.
	Open struct{}

	// Keyed admits requests with a key of an organisation. Without organisations it admits none.
	Keyed struct {
		// Organisations are keyed by API key.
		Organisations map[string]Organisation
	}
)

func (Open) isAccess()  {}
func (Keyed) isAccess() {}

// Admit returns the organisation of a request with the key, and reports whether the request may run. An
// empty key, which is that of a request without one, belongs to no organisation.
func (p Plan) Admit(key string) (Organisation, bool) {
	switch access := p.Access.(type) {
	case Open:
		return Organisation{}, true
	case Keyed:
		organisation, isKnown := access.Organisations[key]
		return organisation, isKnown && key != ""
	}
	return Organisation{}, false
}

// RequiresKeys reports whether requests on routes that are not anonymous need a key.
func (p Plan) RequiresKeys() bool {
	_, isOpen := p.Access.(Open)
	return !isOpen
}

// CountKeys returns the number of keys that admit requests.
func (p Plan) CountKeys() int {
	access, _ := p.Access.(Keyed)
	return len(access.Organisations)
}
