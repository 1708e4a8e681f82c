package verify

import (
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/plan"
)

func (c *checker) checkServices() {
	used := map[ident.Service]bool{}
	for _, route := range c.declared.Routes {
		for _, target := range route.Services {
			used[target.Service] = true
		}
	}
	names := map[ident.Service]bool{}
	for i, service := range c.declared.Services {
		at := func(field Field) Place { return Place{KindService, i, field} }
		if names[service.Name] {
			c.fail(at(FieldName), problemDuplicateName)
		}
		names[service.Name] = true
		if !used[service.Name] {
			c.warn(at(FieldWhole), "is never used: no route leads to it")
		}
		if service.Connections < 0 {
			c.fail(at(FieldConnections), problemNegative)
		}
		if service.ColdRate == 0 && service.ColdTime > 0 {
			c.warn(at(FieldColdTime), "has no effect without a rate of requests to cold endpoints")
		}
		if service.Engine != nil {
			c.checkEngine(service, at)
		}
	}
}

func (c *checker) checkEngine(service plan.Service, at func(Field) Place) {
	engine := service.Engine
	switch {
	case engine.Slots <= 0:
		c.fail(at(FieldEngine), "has no slots")
	case service.Connections > 0 && service.Connections < engine.Slots:
		c.fail(at(FieldConnections), "is below the number of slots")
	}
	switch {
	case engine.MemoryTokens <= 0:
		c.fail(at(FieldEngine), "has no memory")
	case engine.MeanPromptTokens+engine.MeanOutputTokens > engine.MemoryTokens:
		c.warn(at(FieldEngine), "has less memory than the usual prompt and answer take")
	}
	if engine.PrefillTokensPerMilli <= 0 {
		c.fail(at(FieldEngine), "prefills no tokens")
	}
	if engine.StepsPerPass <= 0 || engine.ChunkTokens <= 0 || engine.StepMillis < 0 {
		c.fail(at(FieldEngine), "has passes without steps or tokens")
	}
}
