package blame

import "mustardhook/internal/flow/call"

const (
	// minPrompts is the number of prompts from which usage tells common parts from others.
	minPrompts = 8
	// halvingPrompts is the number of prompts after which all counts are halved, so that old
	// prompts count for less.
	halvingPrompts = 256
)

// usage counts the parts of recent prompts.
type usage struct {
	prompts int
	byPart  map[call.Part]int
}

func (u *usage) count(parts []call.Part) {
	if len(parts) == 0 {
		return
	}
	if u.byPart == nil {
		u.byPart = map[call.Part]int{}
	}
	u.prompts++
	for _, part := range parts[:min(len(parts), maxParts)] {
		u.byPart[part]++
	}
	if u.prompts < halvingPrompts {
		return
	}
	u.prompts /= 2
	for part, count := range u.byPart {
		if count < 2 {
			delete(u.byPart, part)
			continue
		}
		u.byPart[part] = count / 2
	}
}

// isCommon reports whether most prompts are known to have the part.
func (u *usage) isCommon(part call.Part) bool {
	return u.prompts >= minPrompts && 2*u.byPart[part] > u.prompts
}
