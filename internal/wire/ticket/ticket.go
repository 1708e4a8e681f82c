// Package ticket parses change tickets: files in JSON with comments that contain the
// complete new value of each object that they change.
package ticket

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
	"mustardhook/internal/core/ident"
	"mustardhook/internal/wire/strict"
)

const (
	// SizeLimit is the size limit of a ticket in bytes. The configuration service stores
	// no larger values.
	SizeLimit = 1 << 20

	maxNumber       = 1 << 53
	maxMillis       = int64(30 * 24 * clock.Hour)
	digestHexLength = 64
)

type (
	// reader collects the objects of one ticket; refs has their references.
	reader struct {
		objects []fleet.Object
		refs    map[fleet.Ref]bool
	}
)

// Parse parses a ticket. The error is a strict.FileErrors that lists every error in the
// file; file is the name that they carry.
func Parse(file string, text []byte) (fleet.Ticket, error) {
	if len(text) > SizeLimit {
		reason := fmt.Sprintf("the file has %d bytes, the limit is %d", len(text), SizeLimit)
		return fleet.Ticket{}, strict.FileErrors{{File: file, Line: 1, Column: 1, Reason: reason}}
	}
	doc, top := strict.Parse(file, text)
	if top == nil {
		return fleet.Ticket{}, doc.Err()
	}
	number := readNumber(top)
	_ = top.String("comment")
	r := &reader{refs: map[fleet.Ref]bool{}}
	r.readObjects(top)
	top.ReportUnknown()
	if len(r.objects) == 0 && doc.Err() == nil {
		top.AddError("objects", "names no object; a ticket must set at least one")
	}
	if err := doc.Err(); err != nil {
		return fleet.Ticket{}, err
	}
	return fleet.Ticket{
		Number:  number,
		Digest:  fleet.Digest(xxhash.Sum64(text)),
		Objects: r.objects,
		Text:    text,
	}, nil
}

func readNumber(top *strict.Object) fleet.Number {
	if !top.Has("number") {
		top.AddError("number", strict.ReasonMissing)
	}
	return fleet.Number(top.Int("number", 1, maxNumber, 0))
}

func (r *reader) readObjects(top *strict.Object) {
	kinds := []struct {
		field string
		read  func(*strict.Object) fleet.Object
	}{
		{"failureDomains", readDomain},
		{"services", readService},
		{"endpoints", readEndpoint},
		{"models", readModel},
		{"organisations", readOrganisation},
		{"removed", readRemoved},
	}
	for _, kind := range kinds {
		for _, item := range top.Items(kind.field) {
			if object := item.Object(); object != nil {
				r.add(object, kind.read(object))
				object.ReportUnknown()
			}
		}
	}
}

func (r *reader) add(source *strict.Object, object fleet.Object) {
	ref := object.Ref()
	if r.refs[ref] {
		source.AddError("name", "names "+ref.String()+", which the ticket sets already")
		return
	}
	r.refs[ref] = true
	r.objects = append(r.objects, object)
}

func readDomain(o *strict.Object) fleet.Object {
	return fleet.Domain{
		Name:   ident.Domain(o.RequiredString("name")),
		Region: ident.Region(o.RequiredString("region")),
	}
}

func readEndpoint(o *strict.Object) fleet.Object {
	endpoint := fleet.Endpoint{
		Name:    ident.Endpoint(o.RequiredString("name")),
		Domain:  ident.Domain(o.RequiredString("failureDomain")),
		Address: o.RequiredString("address"),
		Service: ident.Service(o.String("service")),
		Phase: fleet.Phase(o.OneOf("phase",
			string(fleet.PhaseServing), string(fleet.PhaseJoining), string(fleet.PhaseLeaving))),
		Role: fleet.Role(o.OneOf("role",
			string(fleet.RoleBoth), string(fleet.RolePrefill), string(fleet.RoleDecode))),
		ChecksFences: o.Bool("checksFences"),
		ChecksKeys:   o.Bool("checksKeys"),
	}
	if _, err := netip.ParseAddrPort(endpoint.Address); err != nil && endpoint.Address != "" {
		o.AddError("address", "must be an IP address and port, such as 10.1.2.3:8000")
	}
	return endpoint
}

func readModel(o *strict.Object) fleet.Object {
	model := fleet.Model{
		Name:    ident.Model(o.RequiredString("name")),
		Version: o.RequiredString("version"),
	}
	for _, item := range o.Items("adapters") {
		if adapter := item.Object(); adapter != nil {
			model.Adapters = append(model.Adapters, fleet.Adapter{
				Name:    ident.Adapter(adapter.RequiredString("name")),
				Version: adapter.RequiredString("version"),
			})
			adapter.ReportUnknown()
		}
	}
	for _, name := range o.Strings("endpoints") {
		model.Endpoints = append(model.Endpoints, ident.Endpoint(name))
	}
	return model
}

func readOrganisation(o *strict.Object) fleet.Object {
	organisation := fleet.Organisation{
		Name:      ident.Organisation(o.RequiredString("name")),
		Share:     o.Float("share", 0, 1),
		KeyDigest: o.NonEmptyString("keyDigest"),
		Deadline:  readMillis(o, "deadlineMillis"),
	}
	if digest := organisation.KeyDigest; digest != "" && len(digest) != digestHexLength {
		o.AddError("keyDigest", "must be a SHA-256 digest in 64 hex digits")
	}
	return organisation
}

func readService(o *strict.Object) fleet.Object {
	service := fleet.Service{
		Name:      ident.Service(o.RequiredString("name")),
		Deadline:  readMillis(o, "deadlineMillis"),
		Retention: readMillis(o, "retentionMillis"),
	}
	for _, item := range o.Items("repeatable") {
		if call := item.Object(); call != nil {
			service.Repeatable = append(service.Repeatable, fleet.Call{
				Method: call.RequiredString("method"),
				Prefix: call.RequiredString("prefix"),
			})
			call.ReportUnknown()
		}
	}
	return service
}

func readRemoved(o *strict.Object) fleet.Object {
	kind := o.OneOf("kind", string(fleet.KindEndpoint), string(fleet.KindModel),
		string(fleet.KindOrganisation), string(fleet.KindService), string(fleet.KindDomain))
	return fleet.Removed{Object: fleet.Ref{Kind: fleet.Kind(kind), Name: o.RequiredString("name")}}
}

func readMillis(o *strict.Object, field string) clock.Millis {
	return clock.Millis(o.Int(field, 0, maxMillis, 0))
}
