//go:build review

package main

import (
	"net/http"
	"time"
)

const (
	// configApply and revokeTime are the bounds config_apply_ms and revoke_ms.
	configApply = 2 * time.Second
	revokeTime  = 5 * time.Second

	unknownKey = "k4never0held0by0anyone"
)

// playKeys takes both keys away from the only tenant, and then sends requests with a key that no
// configuration ever held. The run without the disruption has the same new version with the keys.
func playKeys(s *setting) (int, error) {
	held := []string{"n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"}
	config := func(version int, keys []string) map[string]any {
		return map[string]any{
			"version": version, "limits": limits(), "services": []any{plainService("app")},
			"routes":  []any{plainRoute("book", "/book/", "unsafe", "app", 1), plainRoute("board", "/board/", "safe", "app", 2)},
			"tenants": []any{map[string]any{"name": "crew", "api_keys": keys, "priority": 1}},
		}
	}
	published, list, _, f, err := s.startFleet(config(7, held), map[string]int{"app": 3}, 3)
	if err != nil {
		return exitNotRun, err
	}
	defer f.stop()
	if !f.waitReady() {
		s.record.line("end", "the entries did not become ready")
		return exitNotRun, nil
	}
	book := func(e *relay, key string) answer {
		return send(s.record, e.frontend, request{
			method: http.MethodPost, host: "desk.example", path: "/book/7", key: key, timeout: 3 * time.Second, body: "roof 7",
		})
	}
	// Before the change, keys that are held are served and others are refused.
	for _, e := range f.relays {
		if a := book(e, held[0]); a.status != http.StatusOK {
			s.record.line("end", "the held key is not served before the change")
			return exitNotRun, nil
		}
		if a := book(e, unknownKey); a.status != http.StatusUnauthorized {
			s.record.line("end", "the unknown key is not refused before the change")
			return exitNotRun, nil
		}
	}
	if s.hasTrouble {
		s.record.line("fault", "revoke: both keys of the only tenant are taken away, 0.1 s apart")
		published.put("op/config", config(9, held[1:]))
		time.Sleep(100 * time.Millisecond)
		published.put("op/config", config(12, []string{}))
	} else {
		published.put("op/config", config(12, held))
	}
	time.Sleep(configApply + revokeTime)
	isBroken := false
	for range 5 {
		for _, e := range f.relays {
			// Attempt ids are new, so a run with this id is the run of this request.
			a := book(e, unknownKey)
			for _, found := range list.of(a.attempt) {
				isBroken = true
				s.record.line("BROKEN", "ROUTE: %s ran at %s with a key that no configuration ever held, Tenant %q, answer %d",
					a.attempt, found.runner, found.tenant, a.status)
			}
			a = book(e, held[0])
			for _, found := range list.of(a.attempt) {
				if s.hasTrouble {
					isBroken = true
					s.record.line("BROKEN", "CONFIG: %s ran at %s with a key that was taken away over 7 s before, Tenant %q, answer %d",
						a.attempt, found.runner, found.tenant, a.status)
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	if isBroken {
		return exitBroken, nil
	}
	return exitHeld, nil
}
