package place

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/cost"
	"mustardhook/internal/flow/learn"
	"mustardhook/internal/flow/pool"
)

const (
	// remoteLeft is the fraction of the published cost of a running request that is left on average.
	remoteLeft = 0.5
	// horizonDelays is the number of delays of the news that the horizon of a decision exceeds the cost of the request by: what is seen
	// is as old as one, and what follows is seen after another.
	horizonDelays = 2
	// dearFactor is the ratio to the mean cost from which on requests are dear. separation is how much they lean towards the first
	// endpoints; that vanishes with little work, when nobody waits, and with much, when all slots are needed.
	dearFactor = 2
	separation = 6
	// minUse is the use of its slots from which on a service is priced, and keptUse that below which it is no
	// longer. With less work nobody waits.
	minUse  = 0.25
	keptUse = 0.15
	// shareUse is the use from which on entries share evidence.
	shareUse = 0.12
	// minUnseen is the least work that other entries are taken to send within the delay of the news, in milliseconds.
	minUnseen = 1.0
	// minOwnShare is the least part of the duration of a request that is its cost.
	minOwnShare = 0.1
)

// offer is an endpoint with what a send to it is expected to take. height is the time, in milliseconds, by
// which it is behind an idle one.
type offer struct {
	endpoint      *pool.Endpoint
	price         board.Price
	slots, height float64
}

// subjectOf returns what the cost of a request of a plain service is learned by.
func subjectOf(request call.RoutedRequest) learn.Subject {
	path := strings.TrimPrefix(request.Request.Path, request.Route.Prefix)
	return learn.NewSubject(request.Service, request.Route.Name, request.Organisation, path, request.Request.BodyBytes)
}

// isPriced reports whether the endpoint is chosen by price: the requests of the service are known to differ in
// cost, and keep enough of its slots busy for some to wait. Evidence is shared from half as much work on.
func isPriced(b *board.Board, request *board.Request, mix learn.Mix, endpoints []*pool.Endpoint) bool {
	slots := 0
	for _, endpoint := range endpoints {
		slots += max(endpoint.Slots, 1)
	}
	all := max(mix.BusySlots, mix.OwnSlots*float64(len(b.Peers)+1))
	b.Costs.Share(request.Subject, all >= shareUse*float64(slots))
	least := minUse
	if b.Priced[request.Service] {
		least = keptUse
	}
	isPriced := mix.Differs && slots > 0 && mix.BusySlots >= least*float64(slots)
	if isPriced != b.Priced[request.Service] {
		b.Priced[request.Service] = isPriced
		b.Log("Choice by cost changed.", "service", request.Service, "byCost", isPriced, "meanCost", int(mix.MeanCost),
			"busySlots", int(mix.BusySlots))
	}
	return isPriced
}

// choosePriced chooses an endpoint of a plain service by the time of its slots that is taken within a
// horizon, the way there included. Entries that decide within the delay of the news see the same work, so
// each draws an endpoint with the chance with which the work that they send in that time fills up the
// least loaded ones evenly. Dear requests lean towards the first endpoints in the order that all entries share,
// so that others have few of them.
func choosePriced(b *board.Board, request *board.Request, mix learn.Mix, endpoints []*pool.Endpoint) *pool.Endpoint {
	delay := float64(cost.NewsDelay + b.Tally.MaxDeferral())
	horizon := request.Price.Cost + horizonDelays*delay
	var storage [16]offer
	offers := storage[:0]
	slots := 0.0
	for _, endpoint := range endpoints {
		offers = append(offers, offerOf(b, request, endpoint, horizon))
		slots += offers[len(offers)-1].slots
	}
	if request.Price.Cost >= dearFactor*mix.MeanCost {
		use := min(mix.BusySlots/slots, 1)
		for i := range offers {
			offers[i].height += separation * use * use * (1 - use) * horizon * float64(i) / float64(len(offers))
		}
	}
	slices.SortFunc(offers, func(a, b offer) int { return cmp.Compare(a.height, b.height) })
	unseen := max(mix.BusySlots*delay, minUnseen)
	level := waterLevel(offers, unseen)
	draw := b.Random.Float64() * unseen
	best := offers[0]
	for _, next := range offers {
		if next.height >= level {
			break
		}
		best = next
		if draw -= next.slots * (level - next.height); draw < 0 {
			break
		}
	}
	request.Price = best.price
	return best.endpoint
}

// waterLevel returns the level up to which the work fills the offers, which are sorted by height.
func waterLevel(offers []offer, work float64) float64 {
	slots, filled := 0.0, 0.0
	for i, next := range offers {
		slots += next.slots
		filled += next.slots * next.height
		level := (work + filled) / slots
		if i+1 == len(offers) || level <= offers[i+1].height {
			return level
		}
	}
	return 0
}

// offerOf returns what a send of the request to the endpoint is expected to take.
func offerOf(b *board.Board, request *board.Request, endpoint *pool.Endpoint, horizon float64) offer {
	price := request.Price
	price.Pace = b.Delays.Pace(endpoint.Hash(), b.Now)
	price.Way = b.Delays.Way(b.Domain, endpoint.Domain)
	slots := float64(max(endpoint.Slots, 1))
	leads := float64(endpoint.RemoteLoad.Leads)
	left := remoteLeft * float64(endpoint.RemoteLoad.PrefillMillis)
	taken := min(left, leads*horizon)
	for _, work := range endpoint.Work {
		leads++
		own := price.Cost
		if work.Cost > 0 {
			own = cost.PlainLeft(work, b.Now)
		}
		left += own
		taken += min(own, horizon)
	}
	if leads >= slots {
		price.Wait = left / leads / slots * (leads - slots + 1)
		taken += price.Wait * slots
	}
	return offer{
		endpoint: endpoint, price: price, slots: slots, height: taken/slots*price.Pace + (price.Pace-1)*price.Cost + price.Way,
	}
}

// recordCost learns from a complete answer of a plain service. What the request is predicted to have
// waited is not its cost, and makes the rest less certain.
func recordCost(b *board.Board, request *board.Request, endpoint *pool.Endpoint) {
	if b.Plan.Services[request.Service].Engine != nil || request.Route.IsStream() {
		return
	}
	price := request.Price
	actual := float64(b.Now - request.SentAt)
	own := max((actual-price.Way)/max(price.Pace, 1)-price.Wait, actual*minOwnShare)
	b.Costs.Observe(request.Subject, clock.Millis(math.Round(own)), request.Route.Timeout, own/max(actual, 1), b.Now)
	if endpoint != nil {
		b.Delays.Observe(endpoint.Hash(), endpoint.Domain, actual, price.Wait+price.Cost, price.Deviation, b.Now)
	}
}
