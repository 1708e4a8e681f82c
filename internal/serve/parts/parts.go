// Package parts assembles the decision core from its controllers.
package parts

import (
	"mustardhook/internal/claim/calls"
	"mustardhook/internal/claim/voter"
	"mustardhook/internal/core/drain"
	"mustardhook/internal/core/intake"
	"mustardhook/internal/core/loop"
	"mustardhook/internal/core/order"
	"mustardhook/internal/core/pause"
	"mustardhook/internal/peer/gossip"
	"mustardhook/internal/peer/roster"
	"mustardhook/internal/route/crash"
	"mustardhook/internal/route/loads"
	"mustardhook/internal/route/prompt"
	"mustardhook/internal/route/sweep"
)

// The priorities of the controllers. Controllers with lower numbers run first.
const (
	PriorityPause  = 100
	PriorityRoster = 200
	PriorityIntake = 300
	PriorityGossip = 400
	PriorityLoads  = 500
	PriorityCrash  = 600
	PriorityPrompt = 700
	PrioritySweep  = 750
	PriorityVoter  = 790
	PriorityCalls  = 800
	PriorityOrder  = 900
	PriorityDrain  = 1000
)

// Controllers returns a new instance of every controller with its priority.
func Controllers() []loop.Registration {
	return []loop.Registration{
		{Priority: PriorityPause, Controller: pause.NewController()},
		{Priority: PriorityRoster, Controller: roster.NewController()},
		{Priority: PriorityIntake, Controller: intake.NewController()},
		{Priority: PriorityGossip, Controller: gossip.NewController()},
		{Priority: PriorityLoads, Controller: loads.NewController()},
		{Priority: PriorityCrash, Controller: crash.NewController()},
		{Priority: PriorityPrompt, Controller: prompt.NewController()},
		{Priority: PrioritySweep, Controller: sweep.NewController()},
		{Priority: PriorityVoter, Controller: voter.NewController()},
		{Priority: PriorityCalls, Controller: calls.NewController()},
		{Priority: PriorityOrder, Controller: order.NewController()},
		{Priority: PriorityDrain, Controller: drain.NewController()},
	}
}

// NewCore returns a decision core with all controllers.
func NewCore() loop.Core { return loop.NewCore(loop.WithControllers(Controllers()...)) }
