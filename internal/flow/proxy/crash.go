package proxy

import "github.com/sourcegraph/conc/panics"

// crashOnPanic ends the process after a panic, with the original stack in the report of the
// runtime. net/http and conc would recover the panic, and the entry would keep its
// connections without being able to decide anything.
func crashOnPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	recovered := panics.NewRecovered(1, cause)
	go func() { panic(recovered.String()) }()
	// The caller may hold the lock of the core.
	select {}
}
