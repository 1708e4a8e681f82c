package pool

import (
	"math"
	"net/netip"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

const (
	// maxSlots is the largest number of slots of an endpoint.
	maxSlots = 1 << 16
	// MaxColdTime is the longest time for which an endpoint counts as cold.
	MaxColdTime = 60 * clock.Second
)

// Parts of a listing that an endpoint can't be used without.
const (
	PartName    Part = "name"
	PartService Part = "service"
	PartDomain  Part = "domain"
	PartAddress Part = "address"
	PartSlots   Part = "slots"
)

// Part is a part of a listing.
type Part string

// Unusable returns the first part of the listing that can't be used; empty if there is none.
func (l Listing) Unusable() Part {
	switch {
	case !ident.IsName(string(l.Name)):
		return PartName
	case !ident.IsName(string(l.Service)):
		return PartService
	case !ident.IsName(string(l.Domain)):
		return PartDomain
	case !isAddress(l.Address):
		return PartAddress
	case l.Slots < 0 || l.Slots > maxSlots:
		return PartSlots
	}
	return ""
}

// isAddress reports whether an endpoint can be reached at the address. Endpoints are reached over
// IPv4.
func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 || !address.Addr().Is4() {
		return false
	}
	ip := address.Addr()
	return !ip.IsUnspecified() && !ip.IsMulticast() && ip != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

// ColdTime returns a time in milliseconds, rounded up. A value out of bounds gives the next bound.
func ColdTime(millis float64) clock.Millis {
	if !(millis > 0) {
		return 0
	}
	return clock.Millis(math.Ceil(min(millis, float64(MaxColdTime))))
}
