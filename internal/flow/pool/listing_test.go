package pool

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
)

func TestUnusableListing(t *testing.T) {
	valid := Listing{Name: "i-1", Service: "s", Domain: "z", Address: "10.0.0.1:80", Slots: 4}
	require.Empty(t, valid.Unusable())
	for part, spoil := range map[Part][]func(*Listing){
		PartName:    {func(l *Listing) { l.Name = "" }, func(l *Listing) { l.Name = "i\r\n1" }},
		PartService: {func(l *Listing) { l.Service = ident.Service(strings.Repeat("s", 201)) }},
		PartDomain:  {func(l *Listing) { l.Domain = "z 1" }},
		PartAddress: {
			func(l *Listing) { l.Address = "roof:80" }, func(l *Listing) { l.Address = "10.0.0.1:0" },
			func(l *Listing) { l.Address = "[::1]:80" }, func(l *Listing) { l.Address = "255.255.255.255:80" },
		},
		PartSlots: {func(l *Listing) { l.Slots = -1 }, func(l *Listing) { l.Slots = 1<<16 + 1 }},
	} {
		for _, change := range spoil {
			listing := valid
			change(&listing)
			require.Equal(t, part, listing.Unusable(), "%+v", listing)
		}
	}
}

func TestColdTimeIsBounded(t *testing.T) {
	for millis, want := range map[float64]clock.Millis{-1: 0, 0: 0, 0.5: 1, 2999.5: 3000, 1e300: MaxColdTime, math.Inf(1): MaxColdTime} {
		require.Equal(t, want, ColdTime(millis))
	}
	require.Zero(t, ColdTime(math.NaN()))
}
