package blame

import (
	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
)

// maxRecentParts is the number of parts in each half of a recent.
const maxRecentParts = 2048

// recent maps parts to times. It forgets those that were not set for the longest time: when its
// newer half is full, that becomes the older one.
type recent struct{ newer, older map[call.Part]clock.Millis }

// get returns the time of the part, or zero if there is none.
func (r *recent) get(part call.Part) clock.Millis {
	if at, ok := r.newer[part]; ok {
		return at
	}
	return r.older[part]
}

func (r *recent) put(part call.Part, at clock.Millis) {
	if _, ok := r.newer[part]; !ok && len(r.newer) >= maxRecentParts {
		r.older = r.newer
		r.newer = nil
	}
	if r.newer == nil {
		r.newer = make(map[call.Part]clock.Millis)
	}
	r.newer[part] = at
}
