package fleet

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// RetainedNumbers is how many of the newest ticket numbers stay known after
	// all their objects were set again, so that two tickets with one number can
	// still be settled whole.
	RetainedNumbers = 256
	shareTolerance  = 1e-9
)

// What became of a ticket that was merged into a state.
const (
	// Accepted means that the ticket is new and in force.
	Accepted MergeResult = iota
	// Known means that the ticket was there before.
	Known
	// Superseded means that newer tickets set all of the ticket's objects.
	Superseded
	// ConflictLost means that another ticket with the number stays in force.
	ConflictLost
	// ConflictWon means that the ticket replaced another one with its number.
	ConflictWon
)

type (
	// MergeResult says what became of a ticket.
	MergeResult int

	// State is the merge of a set of tickets. It is immutable. Merging is
	// commutative, associative and idempotent, so entries that know the same
	// tickets hold equal states, however the tickets arrived.
	State struct {
		tickets map[Number]Ticket
		owners  map[Ref]Number
		objects map[Ref]Object
		highest Number
		sum     Digest
	}
)

// NewState returns a state without tickets.
func NewState() State { return State{} }

// With returns the state with the ticket merged, and what became of it.
func (s State) With(ticket Ticket) (State, MergeResult) {
	next, merges := s.WithAll([]Ticket{ticket})
	return next, merges[0]
}

// WithAll returns the state with the tickets merged, and what became of each.
func (s State) WithAll(tickets []Ticket) (State, []MergeResult) {
	next := s.copied()
	merges := make([]MergeResult, 0, len(tickets))
	changed := false
	for _, ticket := range tickets {
		merge := next.merge(ticket)
		merges = append(merges, merge)
		changed = changed || merge == Accepted || merge == ConflictWon
	}
	if !changed {
		return s, merges
	}
	next.compact()
	return next, merges
}

func (s *State) merge(ticket Ticket) MergeResult {
	known, found := s.tickets[ticket.Number]
	switch {
	case found && known.Digest == ticket.Digest:
		return Known
	case found && known.Digest < ticket.Digest:
		return ConflictLost
	case found:
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

// Highest returns the highest ticket number that is known.
func (s State) Highest() Number { return s.highest }

// Sum returns a hash of the set of tickets that are in force; equal sets have
// equal sums.
func (s State) Sum() Digest { return s.sum }

// Len returns the count of objects, without removed ones.
func (s State) Len() int {
	count := 0
	for _, object := range s.objects {
		if _, removed := object.(Removed); !removed {
			count++
		}
	}
	return count
}

// Stamps returns the stamps of all known tickets in order of their numbers.
func (s State) Stamps() []Stamp {
	numbers := slices.Sorted(maps.Keys(s.tickets))
	stamps := make([]Stamp, 0, len(numbers))
	for _, number := range numbers {
		stamps = append(stamps, s.tickets[number].Stamp())
	}
	return stamps
}

// SumBelow returns the hash of the set of known tickets below the number.
func (s State) SumBelow(number Number) Digest {
	var sum Digest
	for known, ticket := range s.tickets {
		if known < number {
			sum += mixStamp(ticket.Stamp())
		}
	}
	return sum
}

// StampsFrom returns the stamps of known tickets from the number on, in order.
func (s State) StampsFrom(number Number) []Stamp {
	stamps := s.Stamps()
	start, _ := slices.BinarySearchFunc(stamps, number, func(stamp Stamp, wanted Number) int {
		return cmp.Compare(stamp.Number, wanted)
	})
	return stamps[start:]
}

// Ticket returns the known ticket with the number.
func (s State) Ticket(number Number) (Ticket, bool) {
	ticket, found := s.tickets[number]
	return ticket, found
}

// NumberOf returns the number of the ticket that set the object.
func (s State) NumberOf(ref Ref) Number { return s.owners[ref] }

// Objects returns all objects that are not removed, in order of their names.
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

// Lookup returns the object of the name, unless it was removed.
func (s State) Lookup(ref Ref) (Object, bool) {
	object, found := s.objects[ref]
	if _, removed := object.(Removed); removed {
		return nil, false
	}
	return object, found
}

// Check returns the faults of references and shares in the whole state.
func (s State) Check() []error {
	return s.checkObjects(s.Objects())
}

// CheckTicket returns the faults of references and shares of the ticket's
// objects in the state, which the ticket was merged into.
func (s State) CheckTicket(ticket Ticket) []error {
	return s.checkObjects(ticket.Objects)
}

func (s State) checkObjects(objects []Object) []error {
	var faults []error
	shares := false
	for _, object := range objects {
		switch object := object.(type) {
		case Endpoint:
			faults = append(faults, s.checkEndpoint(object)...)
		case Model:
			faults = append(faults, s.checkModel(object)...)
		case Organisation:
			shares = true
		}
	}
	if shares {
		faults = append(faults, s.checkShares()...)
	}
	return faults
}

func (s State) checkShares() []error {
	sum := 0.0
	for _, object := range s.objects {
		if organisation, is := object.(Organisation); is {
			sum += organisation.Share
		}
	}
	if sum > 1+shareTolerance {
		return []error{&ShareError{Sum: sum}}
	}
	return nil
}

func (s State) checkEndpoint(endpoint Endpoint) []error {
	var faults []error
	domain := Ref{KindDomain, string(endpoint.Domain)}
	if _, found := s.Lookup(domain); !found {
		faults = append(faults, &ReferenceError{endpoint.Ref(), "failureDomain", domain})
	}
	service := Ref{KindService, string(endpoint.Service)}
	if _, found := s.Lookup(service); !found && !endpoint.IsEngine() {
		faults = append(faults, &ReferenceError{endpoint.Ref(), "service", service})
	}
	return faults
}

func (s State) checkModel(model Model) []error {
	var faults []error
	for _, name := range model.Endpoints {
		ref := Ref{KindEndpoint, string(name)}
		if _, found := s.Lookup(ref); !found {
			faults = append(faults, &ReferenceError{model.Ref(), "endpoints", ref})
		}
	}
	return faults
}

func (s *State) isSuperseded(ticket Ticket) bool {
	if ticket.Number+RetainedNumbers > s.highest {
		return false
	}
	for _, object := range ticket.Objects {
		if s.owners[object.Ref()] < ticket.Number {
			return false
		}
	}
	return true
}

func (s State) copied() State {
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
	s.sum += mixStamp(ticket.Stamp())
	for _, object := range ticket.Objects {
		ref := object.Ref()
		if owner, owned := s.owners[ref]; owned && owner > ticket.Number {
			continue
		}
		s.owners[ref] = ticket.Number
		s.objects[ref] = object
	}
}

func (s *State) rebuild() {
	tickets := s.tickets
	s.owners = map[Ref]Number{}
	s.objects = map[Ref]Object{}
	s.sum = 0
	for _, number := range slices.Sorted(maps.Keys(tickets)) {
		s.apply(tickets[number])
	}
}

// compact drops tickets that are neither in force nor among the newest.
func (s *State) compact() {
	owning := map[Number]bool{}
	for _, number := range s.owners {
		owning[number] = true
	}
	for number, ticket := range s.tickets {
		if !owning[number] && number+RetainedNumbers <= s.highest {
			delete(s.tickets, number)
			s.sum -= mixStamp(ticket.Stamp())
		}
	}
}

func mixStamp(stamp Stamp) Digest {
	const odd = 0x9E3779B97F4A7C15
	mixed := uint64(stamp.Digest) ^ uint64(stamp.Number)*odd
	mixed ^= mixed >> 29
	return Digest(mixed * odd)
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
