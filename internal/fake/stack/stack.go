// Package stack runs a whole small deployment on loopback in one process: the
// platform, engines, services and entries, each behind its own port.
package stack

import (
	"context"
	"fmt"
	"io"
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
	"mustardhook/internal/fake/desk"
	"mustardhook/internal/fake/engine"
	"mustardhook/internal/fake/host"
	"mustardhook/internal/fake/motor"
	"mustardhook/internal/fake/ports"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/wire/admin"
	"mustardhook/internal/wire/setup"
	"mustardhook/internal/wire/watch"
)

const (
	// OrganisationName is the customer that every stack declares.
	OrganisationName = "crew"
	// ModelName is the model that every engine runs.
	ModelName = "advice"
	// ServiceName is the plain service of every stack.
	ServiceName = "booking"

	readyInterval = 20 * time.Millisecond
	readyTries    = 500
)

type (
	// Spec is the size of a stack.
	Spec struct {
		Domains  []ident.Domain
		Entries  int
		Engines  int
		Services int
		// EngineConfig are the figures of every engine.
		EngineConfig motor.Config
		// DeduplicateKeys says that services run a key once by themselves.
		DeduplicateKeys bool
		Logger          logs.Logger
		Seed            uint64
		// Deadline is the default of the organisation.
		Deadline clock.Millis
		// EditSettings changes the settings of every entry before it starts.
		EditSettings func(*setup.Settings)
	}

	// Cluster is a running deployment.
	Cluster struct {
		Spec     Spec
		Platform *config.Server
		Engines  []*Engine
		Services []*Service
		Entries  []*Entry
		Ledger   *desk.Ledger

		platform   *host.Host
		lastTicket fleet.Number
	}

	// Engine is one running engine.
	Engine struct {
		Name    ident.Endpoint
		Domain  ident.Domain
		Server  *engine.Server
		host    *host.Host
		config  motor.Config
		cluster *Cluster
	}

	// Service is one running service instance.
	Service struct {
		Name   ident.Endpoint
		Domain ident.Domain
		Server *desk.Server
		host   *host.Host
	}

	// Entry is one running entry.
	Entry struct {
		Settings setup.Settings
		cancel   context.CancelFunc
		group    conc.WaitGroup
		result   error
	}

	// NotReadyError says that an entry did not get ready in time.
	NotReadyError struct{ Entry ident.Entry }
)

// Error names the entry.
func (e *NotReadyError) Error() string { return "entry " + string(e.Entry) + " did not get ready" }

// Start runs a deployment and waits until every entry is ready.
func Start(plan Spec) (*Cluster, error) {
	s := &Cluster{Spec: plan, Platform: config.New(), Ledger: desk.NewLedger()}
	var err error
	if s.platform, err = host.Start("", s.Platform); err != nil {
		return nil, err
	}
	for i := range plan.Engines {
		if err := s.addEngine(i); err != nil {
			return s, err
		}
	}
	for i := range plan.Services {
		if err := s.addService(i); err != nil {
			return s, err
		}
	}
	s.PublishTicket(s.InitialTicket())
	for i := range plan.Entries {
		if err := s.addEntry(i); err != nil {
			return s, err
		}
	}
	for _, entry := range s.Entries {
		if err := entry.WaitReady(); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Close stops everything.
func (s *Cluster) Close() {
	for _, entry := range s.Entries {
		entry.Stop()
	}
	for _, running := range s.Engines {
		running.Kill()
	}
	for _, running := range s.Services {
		running.host.Close()
	}
	s.platform.Close()
}

// PlatformAddress returns the address of the configuration service.
func (s *Cluster) PlatformAddress() string { return s.platform.Address() }

// PublishTicket publishes the body of a ticket under the next number and returns it. The
// body is the ticket's fields without the number.
func (s *Cluster) PublishTicket(body string) fleet.Number {
	s.lastTicket++
	s.PublishTicketAs(s.lastTicket, fmt.Sprintf("{\"number\": %d, %s}", s.lastTicket, body))
	return s.lastTicket
}

// PublishTicketAs publishes a whole ticket under a key of the given number.
func (s *Cluster) PublishTicketAs(number fleet.Number, text string) {
	s.Platform.Set(fmt.Sprintf("%s%09d", watch.TicketPrefix, number), []byte(text))
}

// InitialTicket returns the body of a ticket that declares the whole stack.
func (s *Cluster) InitialTicket() string {
	var domains, endpoints, names []string
	for _, domain := range s.Spec.Domains {
		domains = append(domains, fmt.Sprintf(`{"name": %q, "region": "here"}`, domain))
	}
	for _, running := range s.Engines {
		endpoints = append(endpoints, running.Declaration(fleet.PhaseServing))
		names = append(names, fmt.Sprintf("%q", running.Name))
	}
	for _, running := range s.Services {
		endpoints = append(endpoints, s.serviceDeclaration(running, fleet.PhaseServing))
	}
	return fmt.Sprintf(`
  "failureDomains": [%s],
  "services": [{"name": %q, "deadlineMillis": 5000, "retentionMillis": 600000,
    "repeatable": [{"method": "GET", "prefix": "/"}]}],
  "endpoints": [%s],
  "models": [{"name": %q, "version": "1", "endpoints": [%s]}],
  "organisations": [{"name": %q, "share": 0.5, "deadlineMillis": %d}]`,
		strings.Join(domains, ", "), ServiceName, strings.Join(endpoints, ",\n    "), ModelName,
		strings.Join(names, ", "), OrganisationName, max(s.Spec.Deadline, clock.Minute))
}

// Declaration returns the engine as a ticket declares it.
func (e *Engine) Declaration(phase fleet.Phase) string {
	return fmt.Sprintf(`{"name": %q, "failureDomain": %q, "address": %q, "phase": %q}`,
		e.Name, e.Domain, e.host.Address(), phase)
}

func (s *Cluster) serviceDeclaration(running *Service, phase fleet.Phase) string {
	return fmt.Sprintf(`{"name": %q, "failureDomain": %q, "address": %q, "service": %q, "phase": %q, "checksKeys": %t}`,
		running.Name, running.Domain, running.host.Address(), ServiceName, phase, s.Spec.DeduplicateKeys)
}

func (s *Cluster) domainOf(i int) ident.Domain { return s.Spec.Domains[i%len(s.Spec.Domains)] }

func (s *Cluster) addEngine(i int) error {
	running := &Engine{
		Name: ident.Endpoint(fmt.Sprintf("engine-%d", i)), Domain: s.domainOf(i), config: s.Spec.EngineConfig, cluster: s,
	}
	if running.config == (motor.Config{}) {
		running.config = motor.DefaultConfig()
	}
	s.Engines = append(s.Engines, running)
	return running.start("")
}

func (e *Engine) start(address string) error {
	e.Server = engine.New(engine.WithConfig(e.config), engine.WithModel(fleet.Model{Name: ModelName, Version: "1"}))
	started, err := host.Start(address, e.Server)
	if err != nil {
		return errors.Wrap(err, "start engine")
	}
	e.host = started
	return nil
}

// Kill cuts all streams of the engine and closes its port.
func (e *Engine) Kill() {
	e.Server.Stop()
	e.host.Close()
}

// Restart starts the engine again at its address, without its memory.
func (e *Engine) Restart() error { return e.start(e.host.Address()) }

func (s *Cluster) addService(i int) error {
	running := &Service{
		Name: ident.Endpoint(fmt.Sprintf("service-%d", i)), Domain: s.domainOf(i),
		Server: desk.New(s.Ledger, s.Spec.DeduplicateKeys),
	}
	started, err := host.Start("", running.Server)
	if err != nil {
		return errors.Wrap(err, "start service")
	}
	running.host = started
	s.Services = append(s.Services, running)
	return nil
}

func (s *Cluster) addEntry(i int) error {
	settings, err := s.NewSettings(i)
	if err != nil {
		return err
	}
	s.Platform.SetInstance(event.Instance{
		Name: string(settings.Entry), Domain: settings.Domain, Address: settings.Peers.Address, IsEntry: true,
	})
	if s.Spec.EditSettings != nil {
		s.Spec.EditSettings(&settings)
	}
	entry := &Entry{Settings: settings}
	s.Entries = append(s.Entries, entry)
	entry.Start(s.Spec.Logger, s.Spec.Seed+uint64(i))
	return nil
}

// NewSettings returns the settings of the i-th entry with free ports.
func (s *Cluster) NewSettings(i int) (setup.Settings, error) {
	addresses, err := ports.Free(3)
	if err != nil {
		return setup.Settings{}, err
	}
	text := fmt.Sprintf(`{
  "entry": "entry-%d", "failureDomain": %q, "platform": %q,
  "callers": {"listen": %q}, "peers": {"listen": %q}, "operators": {"listen": %q}
}`, i, s.domainOf(i), s.platform.Address(), addresses[0], addresses[1], addresses[2])
	return setup.Parse("stack", []byte(text))
}

// Start runs the entry.
func (e *Entry) Start(logger logs.Logger, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	entry := mustardhook.New(e.Settings, mustardhook.WithLogger(logger), mustardhook.WithSeed(seed))
	e.group.Go(func() { e.result = entry.Run(ctx) })
}

// Stop asks the entry to stop and waits until it has finished its requests.
func (e *Entry) Stop() {
	e.cancel()
	e.group.Wait()
}

// URL returns the URL of a path at the callers' port.
func (e *Entry) URL(path string) string { return "http://" + e.Settings.Callers.Address + path }

// CounterValue returns the count of a counter of the entry; zero when it does not answer.
func (e *Entry) CounterValue(name string) int {
	response, err := http.Get("http://" + e.Settings.Operators.Address + admin.PathMetrics)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	return admin.Counter(text, name)
}

// WaitReady waits until the entry says that it is ready.
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
