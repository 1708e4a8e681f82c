package fleet

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// RetentionWindow is the number of most recent ticket numbers that are kept even if
	// newer tickets set all of their objects. Within this window, a conflict between
	// two tickets with the same number is resolved completely.
	RetentionWindow = 256
	// shareTolerance allows for rounding in the sum of the shares.
	shareTolerance = 1e-9
)

// Results of merging a ticket into a state.
const (
	// Accepted means that the ticket is new and now in force.
	Accepted MergeResult = iota
	// Duplicate means that the state already contained the ticket.
	Duplicate
	// Superseded means that newer tickets have set all objects of the ticket.
	Superseded
	// ConflictLost means that another ticket with the same number stays in force.
	ConflictLost
	// ConflictWon means that the ticket replaced another one with the same number.
	ConflictWon
)

type (
	// MergeResult is the result of merging one ticket into a state.
	MergeResult int

	// State is the immutable result of merging a set of tickets. Merging is
	// commutative, associative and idempotent, so entries that know the same tickets
	// hold equal states, regardless of the order in which the tickets arrived.
	State struct {
		tickets map[Number]Ticket
		// owners maps each object to the number of the ticket that last set it.
		owners  map[Ref]Number
		objects map[Ref]Object
		highest Number
		// sum is the hash returned by Sum.
		sum Digest
	}
)

// NewState returns a state without tickets.
func NewState() State { return State{} }

// With returns the state with the ticket merged into it and the result of the merge.
func (s State) With(ticket Ticket) (State, MergeResult) {
	next, results := s.WithAll([]Ticket{ticket})
	return next, results[0]
}

// WithAll returns the state with the tickets merged into it and the result for each
// ticket.
func (s State) WithAll(tickets []Ticket) (State, []MergeResult) {
	next := s.clone()
	results := make([]MergeResult, 0, len(tickets))
	changed := false
	for _, ticket := range tickets {
		merge := next.merge(ticket)
		results = append(results, merge)
		changed = changed || merge == Accepted || merge == ConflictWon
	}
	if !changed {
		return s, results
	}
	next.compact()
	return next, results
}

func (s *State) merge(ticket Ticket) MergeResult {
	existing, ok := s.tickets[ticket.Number]
	switch {
	case ok && existing.Digest == ticket.Digest:
		return Duplicate
	case ok && existing.Digest < ticket.Digest:
		return ConflictLost
	case ok:
		s.tickets[ticket.Number] = ticket
		s.rebuild()
		return ConflictWon
	case s.isSuperseded(ticket):
		return Superseded
	}
	s.tickets[ticket.Number] = ticket
	s.apply(ticket)
	return Accepted
}

// Highest returns the highest known ticket number.
func (s State) Highest() Number { return s.highest }

// Sum returns a hash of the set of retained tickets. Equal sets have equal sums.
func (s State) Sum() Digest { return s.sum }

// Len returns the number of objects, not counting removed ones.
func (s State) Len() int {
	count := 0
	for _, object := range s.objects {
		if _, removed := object.(Removed); !removed {
			count++
		}
	}
	return count
}

// Stamps returns the stamps of all retained tickets in ascending order of their
// numbers.
func (s State) Stamps() []Stamp {
	numbers := slices.Sorted(maps.Keys(s.tickets))
	stamps := make([]Stamp, 0, len(numbers))
	for _, number := range numbers {
		stamps = append(stamps, s.tickets[number].Stamp())
	}
	return stamps
}

// SumBelow returns the hash of the set of retained tickets below the given number.
func (s State) SumBelow(number Number) Digest {
	var sum Digest
	for n, ticket := range s.tickets {
		if n < number {
			sum += hashStamp(ticket.Stamp())
		}
	}
	return sum
}

// StampsFrom returns the stamps of the retained tickets whose number is at least the
// given one, in ascending order.
func (s State) StampsFrom(number Number) []Stamp {
	stamps := s.Stamps()
	start, _ := slices.BinarySearchFunc(stamps, number, func(stamp Stamp, target Number) int {
		return cmp.Compare(stamp.Number, target)
	})
	return stamps[start:]
}

// Ticket returns the retained ticket with the given number.
func (s State) Ticket(number Number) (Ticket, bool) {
	ticket, ok := s.tickets[number]
	return ticket, ok
}

// NumberOf returns the number of the ticket that last set the object.
func (s State) NumberOf(ref Ref) Number { return s.owners[ref] }

// Objects returns all objects that are not removed, sorted by kind and name.
func (s State) Objects() []Object {
	refs := slices.SortedFunc(maps.Keys(s.objects), compareRefs)
	objects := make([]Object, 0, len(refs))
	for _, ref := range refs {
		if _, removed := s.objects[ref].(Removed); !removed {
			objects = append(objects, s.objects[ref])
		}
	}
	return objects
}

// Lookup returns the referenced object. It returns false if the object is unknown or
// removed.
func (s State) Lookup(ref Ref) (Object, bool) {
	object, ok := s.objects[ref]
	if _, removed := object.(Removed); removed {
		return nil, false
	}
	return object, ok
}

// Check returns the invalid references and shares of the whole state.
func (s State) Check() []error {
	return s.checkObjects(s.Objects())
}

// CheckTicket returns the invalid references and shares of the ticket's objects. The
// ticket must already be merged into the state.
func (s State) CheckTicket(ticket Ticket) []error {
	return s.checkObjects(ticket.Objects)
}

func (s State) checkObjects(objects []Object) []error {
	var errs []error
	hasOrganisation := false
	for _, object := range objects {
		switch object := object.(type) {
		case Endpoint:
			errs = append(errs, s.checkEndpoint(object)...)
		case Model:
			errs = append(errs, s.checkModel(object)...)
		case Organisation:
			hasOrganisation = true
		}
	}
	if hasOrganisation {
		errs = append(errs, s.checkShares()...)
	}
	return errs
}

func (s State) checkShares() []error {
	sum := 0.0
	for _, object := range s.objects {
		if organisation, ok := object.(Organisation); ok {
			sum += organisation.Share
		}
	}
	if sum > 1+shareTolerance {
		return []error{&ShareError{Sum: sum}}
	}
	return nil
}

func (s State) checkEndpoint(endpoint Endpoint) []error {
	var errs []error
	domain := Ref{KindDomain, string(endpoint.Domain)}
	if _, ok := s.Lookup(domain); !ok {
		errs = append(errs, &ReferenceError{endpoint.Ref(), "failureDomain", domain})
	}
	service := Ref{KindService, string(endpoint.Service)}
	if _, ok := s.Lookup(service); !ok && !endpoint.IsEngine() {
		errs = append(errs, &ReferenceError{endpoint.Ref(), "service", service})
	}
	return errs
}

func (s State) checkModel(model Model) []error {
	var errs []error
	for _, name := range model.Endpoints {
		ref := Ref{KindEndpoint, string(name)}
		if _, ok := s.Lookup(ref); !ok {
			errs = append(errs, &ReferenceError{model.Ref(), "endpoints", ref})
		}
	}
	return errs
}

// isSuperseded reports whether the ticket is outside the RetentionWindow and newer tickets
// have set all of its objects.
func (s *State) isSuperseded(ticket Ticket) bool {
	if ticket.Number+RetentionWindow > s.highest {
		return false
	}
	for _, object := range ticket.Objects {
		if s.owners[object.Ref()] < ticket.Number {
			return false
		}
	}
	return true
}

func (s State) clone() State {
	next := s
	next.tickets = maps.Clone(s.tickets)
	next.owners = maps.Clone(s.owners)
	next.objects = maps.Clone(s.objects)
	if next.tickets == nil {
		next.tickets = map[Number]Ticket{}
		next.owners = map[Ref]Number{}
		next.objects = map[Ref]Object{}
	}
	return next
}

func (s *State) apply(ticket Ticket) {
	s.highest = max(s.highest, ticket.Number)
	s.sum += hashStamp(ticket.Stamp())
	for _, object := range ticket.Objects {
		ref := object.Ref()
		if owner, ok := s.owners[ref]; ok && owner > ticket.Number {
			continue
		}
		s.owners[ref] = ticket.Number
		s.objects[ref] = object
	}
}

// rebuild recomputes the state from its tickets.
func (s *State) rebuild() {
	tickets := s.tickets
	s.owners = map[Ref]Number{}
	s.objects = map[Ref]Object{}
	s.sum = 0
	for _, number := range slices.Sorted(maps.Keys(tickets)) {
		s.apply(tickets[number])
	}
}

// compact drops tickets that no longer set any object and are outside the
// RetentionWindow.
func (s *State) compact() {
	inForce := map[Number]bool{}
	for _, number := range s.owners {
		inForce[number] = true
	}
	for number, ticket := range s.tickets {
		if !inForce[number] && number+RetentionWindow <= s.highest {
			delete(s.tickets, number)
			s.sum -= hashStamp(ticket.Stamp())
		}
	}
}

// hashStamp spreads number and digest over all bits, so that the sums of different sets
// are unlikely to be equal. The multiplier is odd, which makes the multiplication
// reversible.
func hashStamp(stamp Stamp) Digest {
	const multiplier = 0x9E3779B97F4A7C15
	mixed := uint64(stamp.Digest) ^ uint64(stamp.Number)*multiplier
	mixed ^= mixed >> 29
	return Digest(mixed * multiplier)
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
