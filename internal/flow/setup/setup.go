// Package setup parses the settings file of a relaying entry, which is JSON with
// comments.
package setup

import (
	"net/netip"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/wire/strict"
)

// Defaults of the settings. Descriptors counts file descriptors, and the retry ratio and
// slack bound the retries of a service within the retry window.
const (
	DefaultMemoryMegabytes      = 256
	DefaultDescriptors          = 4096
	DefaultRetryRatio           = 0.2
	DefaultRetrySlack           = 100
	DefaultRetryWindow          = 10 * clock.Second
	DefaultProcessorThousandths = 1000
	// DefaultNewsRate limits the news that a hub sends to an entry, in bytes per second on
	// average. It is twice the average rate in a fleet of 117 entries and 57 endpoints. With
	// a limit of 7,000 an entry uses at most 9 KB/s for control traffic.
	DefaultNewsRate     = 32_000
	DefaultStallTimeout = 1500 * clock.Millis(1)
	DefaultGracePeriod  = 8 * clock.Second
	// DefaultHeartbeatInterval is the time in which endpoints renew their records.
	DefaultHeartbeatInterval = 1200 * clock.Millis(1)

	maxCount = 1 << 30
	maxPort  = 65535
	thousand = 1000
)

type (
	// Settings holds the contents of the settings file.
	Settings struct {
		Entry  ident.Entry
		Domain ident.Domain
		// Callers, Ready and Peers are the addresses at which the entry serves callers,
		// the readiness check and other entries.
		Callers string
		Ready   string
		Peers   string
		// NewsPort is the UDP port for datagrams between entries.
		// MetricsPort is the port at which metrics are served; zero disables them.
		NewsPort    int
		MetricsPort int
		// Seeds are the addresses of entries to contact first.
		Seeds []string
		// Publisher is the address of the store that publishes state.
		Publisher string
		Limits    Limits
		// Core holds the settings of the decision core.
		Core     input.Settings
		LogLevel string
	}

	// Limits holds the resources that the process may use.
	Limits struct {
		MemoryMegabytes int
		Descriptors     int
		// ProcessorThousandths is the processor share, in thousandths of a core. Entries
		// with a larger share do more work for other entries.
		ProcessorThousandths int
	}
)

// Parse parses the text of a settings file. The error lists all mistakes with their
// positions; file is the name of the file in these messages.
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
	settings.Core = readCoreSettings(top.Object("bounds"))
	top.ReportUnknown()
	return settings, doc.Err()
}

// readAddress returns the value of a required setting that is an IP address and port.
func readAddress(o *strict.Object, name string) string {
	address := o.RequiredString(name)
	if _, err := netip.ParseAddrPort(address); err != nil && address != "" {
		o.AddError(name, "must be an IP address and port, such as 10.1.2.3:8000")
	}
	return address
}

// readLimits returns the limits, with defaults for those that are not set.
func readLimits(limits *strict.Object) Limits {
	if limits == nil {
		return Limits{DefaultMemoryMegabytes, DefaultDescriptors, DefaultProcessorThousandths}
	}
	defer limits.ReportUnknown()
	share := float64(DefaultProcessorThousandths) / thousand
	if limits.Has("processorShare") {
		share = limits.Float("processorShare", 0, maxCount)
	}
	return Limits{
		ProcessorThousandths: int(share * thousand),
		MemoryMegabytes:      int(limits.Int("memoryMegabytes", 16, maxCount, DefaultMemoryMegabytes)),
		Descriptors:          int(limits.Int("descriptors", 64, maxCount, DefaultDescriptors)),
	}
}

// readCoreSettings returns the settings of the core, with defaults for those that are not
// set.
func readCoreSettings(bounds *strict.Object) input.Settings {
	core := input.Settings{
		RetryRatio: DefaultRetryRatio, RetrySlack: DefaultRetrySlack, RetryWindow: DefaultRetryWindow,
		NewsRate: DefaultNewsRate, StallTimeout: DefaultStallTimeout, GracePeriod: DefaultGracePeriod,
		HeartbeatInterval: DefaultHeartbeatInterval,
	}
	if bounds == nil {
		return core
	}
	defer bounds.ReportUnknown()
	duration := func(name string, unit, fallback clock.Millis) clock.Millis {
		if !bounds.Has(name) {
			return fallback
		}
		return clock.Millis(bounds.Float(name, 0, maxCount) * float64(unit))
	}
	core.NewsRate = int(bounds.Int("newsBytesPerSecond", 0, maxCount, DefaultNewsRate))
	core.RetryWindow = duration("retryWindowSeconds", clock.Second, core.RetryWindow)
	if core.RetryWindow <= 0 {
		bounds.AddError("retryWindowSeconds", "must be positive")
	}
	core.StallTimeout = duration("stallMillis", 1, core.StallTimeout)
	core.GracePeriod = duration("graceSeconds", clock.Second, core.GracePeriod)
	core.HeartbeatInterval = duration("heartbeatMillis", 1, core.HeartbeatInterval)
	if bounds.Has("retryRatio") {
		core.RetryRatio = bounds.Float("retryRatio", 0, maxCount)
	}
	if bounds.Has("retrySlack") {
		core.RetrySlack = bounds.Float("retrySlack", 0, maxCount)
	}
	return core
}
