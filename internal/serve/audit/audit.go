// Package audit keeps the audit trail of an entry: its changes of state in the order
// in which they took effect, bounded in memory.
package audit

import (
	"sync"

	"mustardhook/internal/core/action"
	"mustardhook/internal/core/clock"
	"mustardhook/internal/core/fleet"
)

type (
	// Record is one audited change.
	Record struct {
		// Sequence is the number of the record in this process, starting at one.
		Sequence uint64
		At       clock.Millis
		Kind     action.AuditKind
		Object   string
		Number   fleet.Number
		Text     string
	}

	// Trail keeps the newest records up to a limit.
	Trail struct {
		mutex        sync.Mutex
		records      []Record
		maxRecords   int
		lastSequence uint64
		changed      chan struct{}
	}
)

// NewTrail returns a trail that keeps up to limit records.
func NewTrail(limit int) *Trail {
	return &Trail{maxRecords: limit, changed: make(chan struct{})}
}

// Add appends a record for the change and wakes the readers that wait for one. When
// the trail exceeds its limit, only the newest half of the limit is kept.
func (t *Trail) Add(at clock.Millis, change action.WriteAudit) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lastSequence++
	t.records = append(t.records, Record{t.lastSequence, at, change.Kind, change.Object, change.Number, change.Text})
	if len(t.records) > t.maxRecords {
		t.records = append(t.records[:0:0], t.records[len(t.records)-t.maxRecords/2:]...)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// Since returns the kept records after the sequence number that concern the object, or
// all of them if the object is empty. It also returns a channel that is closed when the
// next record is added.
func (t *Trail) Since(sequence uint64, object string) ([]Record, <-chan struct{}) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var matching []Record
	for _, record := range t.records {
		if record.Sequence > sequence && (object == "" || record.Object == object) {
			matching = append(matching, record)
		}
	}
	return matching, t.changed
}
