// Package stack runs a complete cluster in one process: the platform, engines,
// services and entries, each on its own loopback port.
package stack

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"mustardhook"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/fake/config"
	"mustardhook/internal/fake/engine"
	"mustardhook/internal/fake/host"
	"mustardhook/internal/fake/plain"
	"mustardhook/internal/fake/ports"
	"mustardhook/internal/fake/sched"
	"mustardhook/internal/serve/limit"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/wire/admin"
	"mustardhook/internal/wire/setup"
	"mustardhook/internal/wire/watch"
)

const (
	// OrganisationName is the organisation that every cluster declares.
	OrganisationName = "crew"
	// ModelName is the model that every engine serves.
	ModelName = "advice"
	// ServiceName is the plain service of every cluster.
	ServiceName = "booking"

	// readyInterval is the time between two readiness checks.
	readyInterval = 20 * time.Millisecond
	// readyTries is the maximum number of readiness checks.
	readyTries = 500
	// maxMetricsBytes is the maximum size of the metrics of an entry.
	maxMetricsBytes = 1 << 20
)

type (
	// Spec describes a cluster to start.
	Spec struct {
		// Domains are the failure domains, assigned to the members in turn.
		Domains  []ident.Domain
		Entries  int
		Engines  int
		Services int
		// EngineConfig holds the performance parameters of every engine. The zero value
		// selects the defaults.
		EngineConfig sched.Config
		// ChecksKeys makes the services themselves run each idempotency key only once.
		ChecksKeys bool
		Logger     logs.Logger
		// Seed is the seed of the first entry. The i-th entry after it uses Seed + i.
		Seed uint64
		// Deadline is the default deadline of the organisation, at least one minute.
		Deadline clock.Millis
		// EditSettings changes the settings of every entry before it starts.
		EditSettings func(*setup.Settings)
	}

	// Cluster is a running cluster. Close stops it.
	Cluster struct {
		Spec     Spec
		Platform *config.Server
		Engines  []*Engine
		Services []*Service
		Entries  []*Entry
		Ledger   *plain.Ledger

		platform   *host.Host
		lastTicket fleet.Number
	}

	// Engine is a running engine.
	Engine struct {
		Name    ident.Endpoint
		Domain  ident.Domain
		Server  *engine.Server
		host    *host.Host
		config  sched.Config
		cluster *Cluster
	}

	// Service is a running service instance.
	Service struct {
		Name   ident.Endpoint
		Domain ident.Domain
		Server *plain.Server
		host   *host.Host
	}

	// Entry is a running entry.
	Entry struct {
		Settings setup.Settings
		cancel   context.CancelFunc
		group    conc.WaitGroup
		runErr   error
	}

	// NotReadyError reports that an entry did not become ready in time.
	NotReadyError struct{ Entry ident.Entry }
)

// Error returns the message with the name of the entry.
func (e *NotReadyError) Error() string {
	return "entry " + string(e.Entry) + " did not become ready in time"
}

// Start starts a cluster and waits until every entry is ready. On an error, the
// components already started are returned with it, unless the platform itself failed to
// start.
func Start(spec Spec) (*Cluster, error) {
	c := &Cluster{Spec: spec, Platform: config.New(), Ledger: plain.NewLedger()}
	var err error
	if c.platform, err = host.Start("", c.Platform); err != nil {
		return nil, err
	}
	for i := range spec.Engines {
		if err := c.addEngine(i); err != nil {
			return c, err
		}
	}
	for i := range spec.Services {
		if err := c.addService(i); err != nil {
			return c, err
		}
	}
	c.PublishTicket(c.InitialTicket())
	for i := range spec.Entries {
		if err := c.addEntry(i); err != nil {
			return c, err
		}
	}
	for _, entry := range c.Entries {
		if err := entry.WaitReady(); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Close stops all entries, engines and services and the platform.
func (c *Cluster) Close() {
	for _, entry := range c.Entries {
		entry.Stop()
	}
	for _, running := range c.Engines {
		running.Kill()
	}
	for _, running := range c.Services {
		running.host.Close()
	}
	c.platform.Close()
}

// PlatformAddress returns the address of the configuration service.
func (c *Cluster) PlatformAddress() string { return c.platform.Address() }

// PublishTicket publishes a ticket with the next number and returns the number. The body
// holds the fields of the ticket except the number, without the outer braces.
func (c *Cluster) PublishTicket(body string) fleet.Number {
	c.lastTicket++
	c.PublishTicketAs(c.lastTicket, fmt.Sprintf("{\"number\": %d, %s}", c.lastTicket, body))
	return c.lastTicket
}

// PublishTicketAs publishes the complete text of a ticket under the key of a number.
func (c *Cluster) PublishTicketAs(number fleet.Number, text string) {
	c.Platform.Set(fmt.Sprintf("%s%09d", watch.TicketPrefix, number), []byte(text))
}

// InitialTicket returns the body of a ticket that declares the whole cluster.
func (c *Cluster) InitialTicket() string {
	var domains, endpoints, names []string
	for _, domain := range c.Spec.Domains {
		domains = append(domains, fmt.Sprintf(`{"name": %q, "region": "here"}`, domain))
	}
	for _, running := range c.Engines {
		endpoints = append(endpoints, running.Declaration(fleet.PhaseServing))
		names = append(names, fmt.Sprintf("%q", running.Name))
	}
	for _, running := range c.Services {
		endpoints = append(endpoints, c.serviceDeclaration(running, fleet.PhaseServing))
	}
	return fmt.Sprintf(`
  "failureDomains": [%s],
  "services": [{"name": %q, "deadlineMillis": 5000, "retentionMillis": 600000,
    "repeatable": [{"method": "GET", "prefix": "/"}]}],
  "endpoints": [%s],
  "models": [{"name": %q, "version": "1", "endpoints": [%s]}],
  "organisations": [{"name": %q, "share": 0.5, "deadlineMillis": %d}]`,
		strings.Join(domains, ", "), ServiceName, strings.Join(endpoints, ",\n    "), ModelName,
		strings.Join(names, ", "), OrganisationName, max(c.Spec.Deadline, clock.Minute))
}

// Declaration returns the declaration of the engine for a ticket, as JSON.
func (e *Engine) Declaration(phase fleet.Phase) string {
	return fmt.Sprintf(`{"name": %q, "failureDomain": %q, "address": %q, "phase": %q}`,
		e.Name, e.Domain, e.host.Address(), phase)
}

func (c *Cluster) serviceDeclaration(running *Service, phase fleet.Phase) string {
	return fmt.Sprintf(`{"name": %q, "failureDomain": %q, "address": %q, "service": %q, "phase": %q, "checksKeys": %t}`,
		running.Name, running.Domain, running.host.Address(), ServiceName, phase, c.Spec.ChecksKeys)
}

func (c *Cluster) domainOf(i int) ident.Domain { return c.Spec.Domains[i%len(c.Spec.Domains)] }

func (c *Cluster) addEngine(i int) error {
	running := &Engine{
		Name: ident.Endpoint(fmt.Sprintf("engine-%d", i)), Domain: c.domainOf(i), config: c.Spec.EngineConfig, cluster: c,
	}
	if running.config == (sched.Config{}) {
		running.config = sched.DefaultConfig()
	}
	c.Engines = append(c.Engines, running)
	return running.start("")
}

// start starts the engine at an address; an empty address selects a free port.
func (e *Engine) start(address string) error {
	e.Server = engine.New(engine.WithConfig(e.config), engine.WithModel(fleet.Model{Name: ModelName, Version: "1"}))
	started, err := host.Start(address, e.Server)
	if err != nil {
		return errors.Wrap(err, "start engine")
	}
	e.host = started
	return nil
}

// Kill aborts all streams of the engine and closes its port.
func (e *Engine) Kill() {
	e.Server.Stop()
	e.host.Close()
}

// Restart starts a new engine with empty memory at the address of the killed one.
func (e *Engine) Restart() error { return e.start(e.host.Address()) }

func (c *Cluster) addService(i int) error {
	running := &Service{
		Name: ident.Endpoint(fmt.Sprintf("service-%d", i)), Domain: c.domainOf(i),
		Server: plain.New(c.Ledger, c.Spec.ChecksKeys),
	}
	started, err := host.Start("", running.Server)
	if err != nil {
		return errors.Wrap(err, "start service")
	}
	running.host = started
	c.Services = append(c.Services, running)
	return nil
}

func (c *Cluster) addEntry(i int) error {
	settings, err := c.NewSettings(i)
	if err != nil {
		return err
	}
	c.Platform.SetInstance(event.Instance{
		Name: string(settings.Entry), Domain: settings.Domain, Address: settings.Peers.Address, IsEntry: true,
	})
	if c.Spec.EditSettings != nil {
		c.Spec.EditSettings(&settings)
	}
	entry := &Entry{Settings: settings}
	c.Entries = append(c.Entries, entry)
	entry.Start(c.Spec.Logger, c.Spec.Seed+uint64(i))
	return nil
}

// NewSettings returns settings for the i-th entry, with free ports.
func (c *Cluster) NewSettings(i int) (setup.Settings, error) {
	addresses, err := ports.Allocate(3)
	if err != nil {
		return setup.Settings{}, err
	}
	text := fmt.Sprintf(`{
  "entry": "entry-%d", "failureDomain": %q, "platform": %q,
  "callers": {"listen": %q}, "peers": {"listen": %q}, "operators": {"listen": %q}
}`, i, c.domainOf(i), c.platform.Address(), addresses[0], addresses[1], addresses[2])
	return setup.Parse("stack", []byte(text))
}

// Start starts the entry and returns without waiting until it is ready.
func (e *Entry) Start(logger logs.Logger, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	entry := mustardhook.New(e.Settings, mustardhook.WithLogger(logger), mustardhook.WithSeed(seed))
	e.group.Go(func() { e.runErr = entry.Run(ctx) })
}

// Stop shuts the entry down and waits until it has finished its requests.
func (e *Entry) Stop() {
	e.cancel()
	e.group.Wait()
}

// URL returns the URL of a path on the callers' port.
func (e *Entry) URL(path string) string { return "http://" + e.Settings.Callers.Address + path }

// CounterValue returns the value of a metrics counter of the entry, or zero if the
// entry does not answer.
func (e *Entry) CounterValue(name string) int {
	response, err := http.Get("http://" + e.Settings.Operators.Address + admin.PathMetrics)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := limit.ReadAll(response.Body, maxMetricsBytes)
	if err != nil {
		return 0
	}
	return admin.Counter(text, name)
}

// WaitReady waits until the readiness check of the entry succeeds. It returns a
// *NotReadyError after readyTries checks.
func (e *Entry) WaitReady() error {
	for range readyTries {
		response, err := http.Get(e.URL("/readyz"))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(readyInterval)
	}
	return &NotReadyError{e.Settings.Entry}
}
