// Package setup parses the settings file of an entry, which is JSON with comments.
package setup

import (
	"net/netip"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/event"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/wire/strict"
)

// Defaults and bounds of the settings.
const (
	DefaultDeadline        = 60 * clock.Second
	DefaultMaxDeadline     = 30 * clock.Minute
	DefaultMaxPromptTokens = 1_000_000
	DefaultMaxInFlight     = 4096
	DefaultStopTimeout     = 20 * clock.Second
	DefaultBodyBytes       = 8 << 20
	DefaultHeaderBytes     = 32 << 10
	DefaultCallBytes       = 1 << 20
	DefaultConnections     = 8192
	DefaultMemoryMegabytes = 512
	DefaultTrailEvents     = 20000
	DefaultAuditRecords    = 4096
	maxCount               = 1 << 30
	maxMillis              = int64(24 * clock.Hour)
	minKeyLength           = 16
	minMegabytes           = 64
)

type (
	// Settings holds the content of a settings file.
	Settings struct {
		Entry     ident.Entry
		Domain    ident.Domain
		Callers   Listener
		Peers     Listener
		Operators Listener
		// Advertise is the address at which other entries reach the peers' port.
		Advertise string
		// Platform is the address of the configuration service.
		Platform string
		// Seeds are the addresses of entries to contact first.
		Seeds    []string
		Core     event.Settings
		Limits   Limits
		LogLevel string
	}

	// Listener configures one port.
	Listener struct {
		Address string
		// Key is the shared key that clients of the port must send; empty means none.
		Key string
		TLS TLS
	}

	// TLS names the files for an encrypted port. The zero value leaves it unencrypted.
	TLS struct {
		Certificate string
		Key         string
		// ClientCA is the file of the authority that must have signed the certificates
		// of clients; empty means that clients need none.
		ClientCA string
	}

	// Limits bounds the memory and the connections that an entry uses.
	Limits struct {
		// BodyBytes bounds the body of a prompt request.
		BodyBytes   int64
		HeaderBytes int
		// CallBytes bounds the body of a call to a service.
		CallBytes   int64
		Connections int
		// MemoryMegabytes is the memory that the budgets of callers follow from. If HasMemory is set,
		// the settings name it, and it also bounds the runtime.
		MemoryMegabytes int
		HasMemory       bool
		// TrailEvents is the number of recorded events to keep; zero disables recording.
		TrailEvents int
		// AuditRecords is the number of audit records to keep.
		AuditRecords int
	}
)

// Enabled reports whether the port is encrypted.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Parse parses a settings file. The error is a strict.FileErrors that lists every error in
// the file; file is the name that they carry.
func Parse(file string, text []byte) (Settings, error) {
	doc, top := strict.Parse(file, text)
	if top == nil {
		return Settings{}, doc.Err()
	}
	settings := Settings{
		Entry:     ident.Entry(top.RequiredString("entry")),
		Domain:    ident.Domain(top.RequiredString("failureDomain")),
		Callers:   readListener(top, "callers"),
		Peers:     readListener(top, "peers"),
		Operators: readListener(top, "operators"),
		Advertise: top.String("advertise"),
		Platform:  readAddress(top, "platform"),
		Seeds:     top.Strings("seeds"),
		LogLevel:  top.OneOf("logLevel", "info", "debug", "warn", "error"),
	}
	readLimits(top, &settings)
	top.ReportUnknown()
	if settings.Advertise == "" {
		settings.Advertise = settings.Peers.Address
	}
	return settings, doc.Err()
}

func readListener(top *strict.Object, name string) Listener {
	object := top.Object(name)
	if object == nil {
		if !top.Has(name) {
			top.AddError(name, strict.ReasonMissing)
		}
		return Listener{}
	}
	listener := Listener{Address: readAddress(object, "listen"), Key: object.NonEmptyString("key")}
	if listener.Key != "" && len(listener.Key) < minKeyLength {
		object.AddError("key", "must have at least 16 characters")
	}
	if tls := object.Object("tls"); tls != nil {
		listener.TLS = TLS{tls.RequiredString("certificate"), tls.RequiredString("key"), tls.NonEmptyString("authority")}
		tls.ReportUnknown()
	}
	object.ReportUnknown()
	return listener
}

func readAddress(o *strict.Object, name string) string {
	address := o.RequiredString(name)
	if _, err := netip.ParseAddrPort(address); err != nil && address != "" {
		o.AddError(name, "must be an IP address and port, such as 10.1.2.3:8000")
	}
	return address
}

func readLimits(top *strict.Object, settings *Settings) {
	settings.Core = event.Settings{
		DefaultDeadline: DefaultDeadline, MaximalDeadline: DefaultMaxDeadline,
		MaximalPrompt: DefaultMaxPromptTokens, MaximalInFlight: DefaultMaxInFlight, OrdersEnabled: true,
		StopTimeout: DefaultStopTimeout,
	}
	if top.Has("orders") {
		settings.Core.OrdersEnabled = top.Bool("orders")
	}
	settings.Limits = Limits{
		BodyBytes: DefaultBodyBytes, HeaderBytes: DefaultHeaderBytes, CallBytes: DefaultCallBytes,
		Connections: DefaultConnections, MemoryMegabytes: DefaultMemoryMegabytes, TrailEvents: DefaultTrailEvents, AuditRecords: DefaultAuditRecords,
	}
	limits := top.Object("limits")
	if limits == nil {
		return
	}
	settings.Core.DefaultDeadline = clock.Millis(limits.Int("deadlineMillis", 1, maxMillis, int64(DefaultDeadline)))
	settings.Core.MaximalDeadline = clock.Millis(limits.Int("longestDeadlineMillis", 1, maxMillis, int64(DefaultMaxDeadline)))
	settings.Core.MaximalPrompt = int(limits.Int("promptTokens", 1, maxCount, DefaultMaxPromptTokens))
	settings.Core.MaximalInFlight = int(limits.Int("inFlight", 1, maxCount, DefaultMaxInFlight))
	settings.Core.StopTimeout = clock.Millis(limits.Int("stopMillis", 1, maxMillis, int64(DefaultStopTimeout)))
	settings.Limits = Limits{
		BodyBytes:       limits.Int("bodyBytes", 1, maxCount, DefaultBodyBytes),
		HeaderBytes:     int(limits.Int("headerBytes", 1024, maxCount, DefaultHeaderBytes)),
		CallBytes:       limits.Int("callBytes", 1, maxCount, DefaultCallBytes),
		Connections:     int(limits.Int("connections", 1, maxCount, DefaultConnections)),
		MemoryMegabytes: int(limits.Int("memoryMegabytes", minMegabytes, maxCount, DefaultMemoryMegabytes)),
		HasMemory:       limits.Has("memoryMegabytes"),
		TrailEvents:     int(limits.Int("trailEvents", 0, maxCount, DefaultTrailEvents)),
		AuditRecords:    int(limits.Int("auditRecords", 1, maxCount, DefaultAuditRecords)),
	}
	limits.ReportUnknown()
}
