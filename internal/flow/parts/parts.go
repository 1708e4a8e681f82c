// Package parts assembles the decision core of a relaying entry from its controllers.
package parts

import (
	"mustardhook/internal/flow/board"
	"mustardhook/internal/flow/crash"
	"mustardhook/internal/flow/intake"
	"mustardhook/internal/flow/pace"
	"mustardhook/internal/flow/peers"
	"mustardhook/internal/flow/place"
)

// Priorities of the controllers; those with lower numbers run first. The crash controller
// comes first because it needs the state of a failed send before others change it.
const (
	PriorityCrash   = 100
	PriorityIntake  = 200
	PriorityReceive = 250
	PriorityPace    = 275
	PriorityPlace   = 300
	PriorityPublish = 400
)

// Controllers returns all controllers with their priorities. newsPort is the UDP port for
// datagrams between entries, the same on every instance.
func Controllers(newsPort string, options ...peers.Option) []board.Registration {
	receiver, publisher := peers.NewControllers(newsPort, options...)
	return []board.Registration{
		{Priority: PriorityCrash, Controller: crash.NewController()},
		{Priority: PriorityIntake, Controller: intake.NewController()},
		{Priority: PriorityReceive, Controller: receiver},
		{Priority: PriorityPace, Controller: pace.NewController()},
		{Priority: PriorityPlace, Controller: place.NewController()},
		{Priority: PriorityPublish, Controller: publisher},
	}
}
