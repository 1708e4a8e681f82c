// Package setup reads the settings of an entry that relays requests: JSON with
// comments.
package setup

import (
	"net/netip"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/wire/strict"
)

// Defaults and limits of the settings.
const (
	DefaultMemory      = 256
	DefaultDescriptors = 4096
	DefaultRetryRatio  = 0.2
	DefaultRetrySlack  = 100
	DefaultRetryWindow = 10 * clock.Second
	DefaultProcessor   = 1000
	// DefaultNewsRate is twice what a fleet of 117 entries before 57 endpoints tells on
	// average; at 7,000 an entry spends 9 KB/s on control at most.
	DefaultNewsRate = 32_000
	DefaultStall    = 1500 * clock.Millis(1)
	DefaultGrace    = 8 * clock.Second

	maxCount = 1 << 30
	maxPort  = 65535
	thousand = 1000
)

type (
	// Settings is the whole settings file.
	Settings struct {
		Entry  ident.Entry
		Domain ident.Domain
		// Callers, Ready and Peers are the addresses of the entry's ports.
		Callers string
		Ready   string
		Peers   string
		// NewsPort is the port of datagrams between entries, MetricsPort that of the
		// metrics; zero means that metrics are not served.
		NewsPort    int
		MetricsPort int
		Seeds       []string
		// Publisher is the address that publishes state.
		Publisher string
		Limits    Limits
		Core      input.Settings
		LogLevel  string
	}

	// Limits bound what the process uses.
	Limits struct {
		MemoryMegabytes int
		Descriptors     int
		// ProcessorThousandths is the processor share, in thousandths of a core. Entries
		// with more of it do more for others.
		ProcessorThousandths int
	}
)

// Parse reads a settings file. The error lists every fault with its place.
func Parse(file string, text []byte) (Settings, error) {
	doc, top := strict.Parse(file, text)
	if top == nil {
		return Settings{}, doc.Err()
	}
	settings := Settings{
		Entry:       ident.Entry(top.RequiredString("entry")),
		Domain:      ident.Domain(top.RequiredString("failureDomain")),
		Callers:     readAddress(top, "callers"),
		Ready:       readAddress(top, "ready"),
		Peers:       readAddress(top, "peers"),
		NewsPort:    int(top.Int("newsPort", 1, maxPort, 0)),
		MetricsPort: int(top.Int("metricsPort", 1, maxPort, 0)),
		Seeds:       top.Strings("seeds"),
		Publisher:   readAddress(top, "publisher"),
		LogLevel:    top.OneOf("logLevel", "info", "debug", "warn", "error"),
	}
	if !top.Has("newsPort") {
		top.AddError("newsPort", strict.ReasonMissing)
	}
	settings.Limits = readLimits(top.Object("limits"))
	settings.Core = readBounds(top.Object("bounds"))
	top.ReportUnknown()
	return settings, doc.Err()
}

func readAddress(o *strict.Object, name string) string {
	address := o.RequiredString(name)
	if _, err := netip.ParseAddrPort(address); err != nil && address != "" {
		o.AddError(name, "must be an IP address and port, such as 10.1.2.3:8000")
	}
	return address
}

func readLimits(limits *strict.Object) Limits {
	if limits == nil {
		return Limits{DefaultMemory, DefaultDescriptors, DefaultProcessor}
	}
	defer limits.ReportUnknown()
	share := float64(DefaultProcessor) / thousand
	if limits.Has("processorShare") {
		share = limits.Float("processorShare", 0, maxCount)
	}
	return Limits{
		ProcessorThousandths: int(share * thousand),
		MemoryMegabytes:      int(limits.Int("memoryMegabytes", 16, maxCount, DefaultMemory)),
		Descriptors:          int(limits.Int("descriptors", 64, maxCount, DefaultDescriptors)),
	}
}

func readBounds(bounds *strict.Object) input.Settings {
	core := input.Settings{
		RetryRatio: DefaultRetryRatio, RetrySlack: DefaultRetrySlack, RetryWindow: DefaultRetryWindow,
		NewsRate: DefaultNewsRate, StallTimeout: DefaultStall, GracePeriod: DefaultGrace,
	}
	if bounds == nil {
		return core
	}
	defer bounds.ReportUnknown()
	number := func(name string, unit, absent clock.Millis) clock.Millis {
		if !bounds.Has(name) {
			return absent
		}
		return clock.Millis(bounds.Float(name, 0, maxCount) * float64(unit))
	}
	core.NewsRate = int(bounds.Int("newsBytesPerSecond", 0, maxCount, DefaultNewsRate))
	core.RetryWindow = number("retryWindowSeconds", clock.Second, core.RetryWindow)
	core.StallTimeout = number("stallMillis", 1, core.StallTimeout)
	core.GracePeriod = number("graceSeconds", clock.Second, core.GracePeriod)
	if bounds.Has("retryRatio") {
		core.RetryRatio = bounds.Float("retryRatio", 0, maxCount)
	}
	if bounds.Has("retrySlack") {
		core.RetrySlack = bounds.Float("retrySlack", 0, maxCount)
	}
	return core
}
