package parts

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/clock"
	"mustardhook/internal/flow/call"
	"mustardhook/internal/flow/input"
	"mustardhook/internal/flow/output"
	"mustardhook/internal/flow/plan"
	"mustardhook/internal/flow/point"
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

// requireReply checks that the output is a reply with the given reason and status.
func requireReply(t *testing.T, out output.Output, reason call.Reason, status int) call.Reply {
	t.Helper()
	reply, isReply := out.(output.Reply)
	require.True(t, isReply, "got %T %+v", out, out)
	require.Equal(t, reason, reply.Reply.Reason)
	require.Equal(t, status, reply.Reply.Status)
	return reply.Reply
}

// requireSend checks that the output is a send.
func requireSend(t *testing.T, out output.Output) call.Send {
	t.Helper()
	send, isSend := out.(output.Send)
	require.True(t, isSend, "got %T %+v", out, out)
	return send.Send
}

func TestRefusalsBeforeAnyRoute(t *testing.T) {
	e := newTestEntry(t)
	_, got := e.request("/book/1", 0, 1500)
	requireReply(t, got, call.ReasonNoPlan, http.StatusServiceUnavailable)
	e.configure(4)
	_, got = e.request("/nowhere/1", 0, 1500)
	requireReply(t, got, call.ReasonNoRoute, http.StatusNotFound)
	emitted := e.step(input.RequestReceived{Request: call.Request{Number: 900, Host: host, Path: "/book/", Key: "stolen"}})
	requireReply(t, e.outputFor(900, emitted), call.ReasonBadKey, http.StatusUnauthorized)
}

// A booking whose answer is lost may have run. It must not be sent again, and the reply
// must not say that it did not run.
func TestBookingWithLostAnswerIsNotRetried(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, got := e.request("/book/1", 0, 1500)
	requireSend(t, got)
	got = e.endSend(call.Result{Number: number, End: call.EndAnswerLost})
	requireReply(t, got, call.ReasonAnswerLost, http.StatusBadGateway)
}

// A booking that an endpoint did not run must be sent to another endpoint. If none runs
// it, the refusal must say that it did not run.
func TestBookingThatDidNotRunIsRetriedElsewhere(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, got := e.request("/book/1", 0, 1500)
	first := requireSend(t, got)
	second := requireSend(t, e.endSend(call.Result{Number: number, End: call.EndNotRun, Refused: true}))
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	third := requireSend(t, e.endSend(call.Result{Number: number, End: call.EndNotRun, Unreachable: true}))
	require.NotContains(t, []any{first.Endpoint, second.Endpoint}, third.Endpoint)
	reply := requireReply(t, e.endSend(call.Result{Number: number, End: call.EndNotRun}), call.ReasonOverload,
		http.StatusServiceUnavailable)
	require.Positive(t, reply.RetryAfter)
}

// Guards against a request without a key that an organisation with an empty key admits.
func TestEmptyKeyAdmitsNobody(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.step(input.PlanRead{Plan: testPlan(6).WithOrganisations(map[string]plan.Organisation{"": {Name: "city"}})})
	emitted := e.step(input.RequestReceived{Request: call.Request{Number: 900, Host: host, Path: "/book/"}})
	requireReply(t, e.outputFor(900, emitted), call.ReasonBadKey, http.StatusUnauthorized)
}

func TestFailedReadIsRetriedOnce(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, got := e.request("/read/1", 0, 1500)
	first := requireSend(t, got)
	second := requireSend(t, e.endSend(call.Result{Number: number, End: call.EndComplete, Status: 500}))
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	got = e.endSend(call.Result{Number: number, End: call.EndComplete, Status: 500})
	require.IsType(t, output.Deliver{}, got)
}

func TestBrokenStreamResumesOnlyIfResumable(t *testing.T) {
	e := newTestEntry(t).configure(4)
	number, got := e.request("/short/1", 5000, 10000)
	first := requireSend(t, got)
	e.step(input.FirstEventSent{Number: number})
	second := requireSend(t, e.endSend(call.Result{Number: number, End: call.EndAnswerLost, Delivered: true}))
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	require.IsType(t, output.Abort{}, e.endSend(call.Result{Number: number, End: call.EndAnswerLost, Delivered: true}))

	number, got = e.request("/fixed/1", 5000, 10000)
	requireSend(t, got)
	requireReply(t, e.endSend(call.Result{Number: number, End: call.EndAnswerLost}), call.ReasonAnswerLost, http.StatusBadGateway)
}

// After a send that may have run, a refusal by another endpoint must not be reported to
// the caller as "not run".
func TestRefusalAfterARunIsNotReportedAsNotRun(t *testing.T) {
	e := newTestEntry(t).configure(2)
	number, got := e.request("/read/1", 0, 1500)
	requireSend(t, got)
	requireSend(t, e.endSend(call.Result{Number: number, End: call.EndAnswerLost}))
	got = e.endSend(call.Result{Number: number, End: call.EndNotRun})
	for range 3 {
		if _, isSend := got.(output.Send); isSend {
			got = e.endSend(call.Result{Number: number, End: call.EndNotRun})
		}
	}
	requireReply(t, got, call.ReasonOverload, http.StatusBadGateway)
}

func TestRetriesAreBounded(t *testing.T) {
	e := newTestEntry(t).configure(4)
	sends := 0
	for range 300 {
		number, got := e.request("/read/1", 0, 1500)
		for {
			if _, isSend := got.(output.Send); !isSend {
				break
			}
			sends++
			got = e.endSend(call.Result{Number: number, End: call.EndAnswerLost})
		}
	}
	require.LessOrEqual(t, float64(sends-300), 0.2*300+200)
}

// A request that was running when two endpoints crashed must not be sent to a third one.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	e := newTestEntry(t).configure(6)
	sendRequest := func() output.Output {
		e.lastNumber++
		request := call.Request{
			Number: e.lastNumber, Host: host, Path: "/short/1", Key: callerKey, PromptTokens: 5000, CallerTimeout: 10000,
			Fingerprint: 77,
		}
		return e.outputFor(e.lastNumber, e.step(input.RequestReceived{Request: request}))
	}
	got := sendRequest()
	for i := range 2 {
		send := requireSend(t, got)
		got = e.endSend(call.Result{Number: send.Number, End: call.EndAnswerLost})
		e.step(input.EndpointRemoved{Name: send.Endpoint, At: point.Point{Revision: 11 + uint64(i)}})
		if _, isSent := got.(output.Send); !isSent {
			got = sendRequest()
		}
	}
	requireReply(t, sendRequest(), call.ReasonCrashesEndpoints, http.StatusServiceUnavailable)
}

func TestOlderPlanIsIgnored(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.step(input.PlanRead{Plan: testPlan(9)})
	e.step(input.PlanRead{Plan: testPlan(7)})
	require.EqualValues(t, 9, e.board.Plan.Version)
}

func TestNewerPlanOfAPeerIsFetched(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.receiveNews("entry-2", func(n *input.News) { n.PlanVersion = 6 })
	e.advance(300)
	require.NotContains(t, e.outputs, output.FetchPublished{Address: "10.9.0.1:9000", PlanVersion: 5, ListAt: point.Point{Revision: 10}})
	e.advance(400)
	require.Contains(t, e.outputs, output.FetchPublished{Address: "10.9.0.1:9000", PlanVersion: 5, ListAt: point.Point{Revision: 10}})
}

// If no entry of a failure domain responds, one failed send to it must make the whole
// domain unusable.
func TestUnresponsiveDomainIsUnreachableAfterOneFailure(t *testing.T) {
	e := newTestEntry(t).configure(6)
	e.receiveNews("entry-2", nil)
	e.advance(1500)
	endpoint := e.board.Pool.Find("engine-01")
	require.EqualValues(t, "south", endpoint.Domain)
	hasFailed := false
	for range 40 {
		number, got := e.request("/short/1", 5000, 10000)
		send := requireSend(t, got)
		isSouth := e.board.Pool.Find(send.Endpoint).Domain == "south"
		require.False(t, hasFailed && isSouth, "sent to the unreachable domain")
		if isSouth {
			e.endSend(call.Result{Number: number, End: call.EndNotRun, Unreachable: true})
			hasFailed = true
		}
	}
	require.True(t, hasFailed)
}

// If entries of a failure domain respond, one failed endpoint must not make the domain
// unusable.
func TestResponsiveDomainStaysReachableAfterOneFailure(t *testing.T) {
	e := newTestEntry(t).configure(6)
	e.receiveNews("entry-2", nil)
	number, got := e.request("/short/1", 5000, 10000)
	requireSend(t, got)
	e.board.Requests[number].Endpoint = "engine-01"
	e.endSend(call.Result{Number: number, End: call.EndNotRun, Unreachable: true})
	require.False(t, e.board.Pool.IsUnreachable("south"))
}

func TestLoadOfUnresponsiveEntryExpires(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.receiveLoads(remoteLoads(3, "engine-00"))
	require.Equal(t, 3, e.board.Pool.Find("engine-00").Leads())
	e.advance(2500)
	require.Zero(t, e.board.Pool.Find("engine-00").Leads())
}

func TestRequestEndsByTimeoutOfItsRoute(t *testing.T) {
	e := newTestEntry(t).configure(0)
	e.step(input.PlanRead{Plan: testPlan(6)})
	e.step(input.EndpointRead{Record: pool.Listing{Name: "desk-0", Service: desk, Address: "10.2.0.0:80", Slots: 6}, At: point.Point{Revision: 11}})
	number, got := e.request("/book/1", 0, 60000)
	send := requireSend(t, got)
	require.LessOrEqual(t, send.TimeLeft, clock.Millis(800))
	requireReply(t, e.endSend(call.Result{Number: number, End: call.EndTimeout}), call.ReasonTimeout, http.StatusGatewayTimeout)
}

// News of an entry that restarted with a lower epoch, because its wall clock was set
// back, must be accepted after a timeout.
func TestLowerEpochIsAcceptedAfterTimeout(t *testing.T) {
	e := newTestEntry(t).configure(4)
	receive := func(epoch uint64) {
		e.receiveNews("entry-2", func(n *input.News) {
			n.Epoch = epoch
			n.PlanVersion = plan.Version(epoch)
		})
		aggregate := tally.Aggregate{Hub: tally.EntryHashOf("entry-2"), Epoch: epoch, Sequence: 1, Loads: remoteLoads(int(epoch), "engine-00")}
		e.step(input.NewsReceived{Batch: input.Batch{Sender: "entry-2", Aggregates: []tally.Aggregate{aggregate}}})
	}
	receive(9)
	receive(4)
	require.Equal(t, 9, e.board.Pool.Find("engine-00").Leads())
	require.EqualValues(t, 9, e.board.Peers["entry-2"].News.PlanVersion)
	e.advance(1000)
	receive(4)
	require.Equal(t, 4, e.board.Pool.Find("engine-00").Leads())
	require.EqualValues(t, 4, e.board.Peers["entry-2"].News.PlanVersion)
}

// A stopping entry must accept requests until the load balancer has noticed, and then
// refuse those that it could not finish.
func TestStoppingEntryRefusesLateRequests(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.step(input.StopRequested{})
	_, got := e.request("/short/1", 5000, 10000)
	requireSend(t, got)
	e.advance(3000)
	_, got = e.request("/short/2", 5000, 10000)
	reply := requireReply(t, got, call.ReasonStopping, http.StatusServiceUnavailable)
	require.Positive(t, reply.RetryAfter)
}

// An endpoint that becomes unreachable is no evidence that the request crashed it.
func TestUnreachableEndpointIsNotCountedAsCrash(t *testing.T) {
	e := newTestEntry(t).configure(6)
	for range 4 {
		number, got := e.request("/short/1", 5000, 10000)
		first := requireSend(t, got)
		e.board.Requests[number].Request.Fingerprint = 77
		if _, isSent := e.endSend(call.Result{Number: number, End: call.EndAnswerLost}).(output.Send); isSent {
			e.board.Requests[number].Endpoint = first.Endpoint
			e.endSend(call.Result{Number: number, End: call.EndNotRun, Unreachable: true})
		}
	}
	require.True(t, e.board.Blame.IsEmpty())
}

// A request that exceeds the timeout of its route is no evidence against its endpoint.
func TestTimeoutsDoNotMakeEndpointsUnusable(t *testing.T) {
	e := newTestEntry(t).configure(4)
	for range 9 {
		number, got := e.request("/book/1", 0, 1500)
		requireSend(t, got)
		e.endSend(call.Result{Number: number, End: call.EndTimeout})
	}
	for _, endpoint := range e.board.Pool.ByService(desk) {
		require.True(t, endpoint.IsUsable(e.board.Now))
	}
}

// An entry that can't read the list itself must accept removals from the lists of its
// peers, which also say which endpoints are in their removal grace. It must not keep
// removed endpoints in use, nor forward a removal grace that revives endpoints elsewhere.
func TestListOfPeerConfirmsRemovals(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.step(input.SourceLost{Reason: "test"})
	var without []pool.PeerListing
	for _, listing := range e.board.Pool.Snapshot(e.board.Now) {
		if listing.Name != "desk-0" {
			without = append(without, listing)
		}
	}
	e.step(input.ListReceived{List: without, At: point.Point{Revision: 11}})
	require.False(t, e.board.Pool.Find("desk-0").IsUsable(e.board.Now))
	require.Equal(t, without, e.board.Pool.Snapshot(e.board.Now))

	removed := pool.Listing{Name: "desk-0", Service: desk, Address: "10.2.0.0:80", Domain: "north", Slots: 6, Epoch: 1}
	withGrace := append(without, pool.PeerListing{Listing: removed, RemovalGrace: 900})
	e.step(input.ListReceived{List: withGrace, At: point.Point{Revision: 12}})
	require.False(t, e.board.Pool.Find("desk-0").IsUsable(e.board.Now))
	restored := append(without, pool.PeerListing{Listing: removed})
	e.step(input.ListReceived{List: restored, At: point.Point{Revision: 13}})
	require.True(t, e.board.Pool.Find("desk-0").IsUsable(e.board.Now))
}

// Guards against publishing endpoints as leaving when their records only expired during an
// outage of the list. They are listed again once the list is back. In a recorded day of the
// site cork-snowdesk this fault caused all requests to be refused for six seconds.
func TestEndpointsRemovedDuringOutageAreNotPublishedAsLeaving(t *testing.T) {
	e := newTestEntry(t).configure(4)
	e.step(input.SourceLost{Reason: "test"})
	e.advance(3 * clock.Second)
	e.step(input.SourceRecovered{})
	e.step(input.EndpointRemoved{Name: "desk-0", At: point.Point{Revision: 20}})
	require.Empty(t, e.board.Pool.RecentlyLeaving(e.board.Now))
	require.True(t, e.board.Pool.Find("desk-0").IsUsable(e.board.Now), "within the removal grace")
	restored := pool.Listing{Name: "desk-0", Service: desk, Address: "10.2.0.0:80", Domain: "north", Slots: 6, Epoch: 1}
	e.step(input.EndpointRead{Record: restored, At: point.Point{Revision: 21}})
	require.Empty(t, e.board.Pool.RecentlyLeaving(e.board.Now))
	require.True(t, e.board.Pool.Find("desk-0").IsUsable(e.board.Now))

	// An endpoint that is still missing at the end of its removal grace is removed. Later
	// removals are published.
	e.step(input.EndpointRemoved{Name: "desk-1", At: point.Point{Revision: 22}})
	e.advance(pool.RemovalGrace)
	require.False(t, e.board.Pool.Find("desk-1").IsUsable(e.board.Now))
	e.step(input.EndpointRemoved{Name: "desk-2", At: point.Point{Revision: 23}})
	require.Equal(t, []pool.Run{{Endpoint: pool.HashOf("desk-2"), Epoch: 1}}, e.board.Pool.RecentlyLeaving(e.board.Now))

	// An endpoint that is listed again is no longer published as leaving.
	restored.Name = "desk-2"
	restored.Address = "10.2.0.2:80"
	restored.Domain = "harbour"
	e.step(input.EndpointRead{Record: restored, At: point.Point{Revision: 24}})
	require.Empty(t, e.board.Pool.RecentlyLeaving(e.board.Now))
}

// Guards against keys that are taken away, the last one too, and still admit requests: those with the key,
// with another one and without any. Anonymous routes need none.
func TestRevokedKeysAdmitNobody(t *testing.T) {
	e := newTestEntry(t).configure(4)
	_, got := e.request("/read/1", 0, 800)
	requireSend(t, got)
	e.step(input.PlanRead{Plan: testPlan(6).WithOrganisations(nil)})
	for _, key := range []string{callerKey, "made-up", ""} {
		e.lastNumber++
		request := call.Request{Number: e.lastNumber, Host: host, Path: "/read/1", Key: key, CallerTimeout: 800}
		got := e.outputFor(e.lastNumber, e.step(input.RequestReceived{Request: request}))
		requireReply(t, got, call.ReasonBadKey, http.StatusUnauthorized)
	}
}

// Guards against a plan that says nothing of keys and admits requests.
func TestPlanWithoutAccessAdmitsNobody(t *testing.T) {
	e := newTestEntry(t).configure(4)
	silent := testPlan(6)
	silent.Access = nil
	e.step(input.PlanRead{Plan: silent})
	for number, key := range []string{callerKey, "made-up", ""} {
		request := call.Request{Number: uint64(900 + number), Host: host, Path: "/read/1", Key: key, CallerTimeout: 800}
		requireReply(t, e.outputFor(request.Number, e.step(input.RequestReceived{Request: request})), call.ReasonBadKey, http.StatusUnauthorized)
	}
}

// logsOf returns the texts of the log lines among the outputs.
func logsOf(emitted []output.Output) (texts []string) {
	for _, action := range emitted {
		if line, isLog := action.(output.Log); isLog {
			texts = append(texts, line.Text)
		}
	}
	return texts
}

// A plan that begins or ceases to require keys is logged and counted; the first one is no change.
func TestChangesOfAccessAreCounted(t *testing.T) {
	e := newTestEntry(t).configure(4)
	require.Zero(t, e.board.AccessChanges)
	require.Contains(t, logsOf(e.step(input.PlanRead{Plan: testPlan(6).WithOpenAccess()})), "Requests need no key any more.")
	require.Equal(t, 1, e.board.AccessChanges)
	e.step(input.PlanRead{Plan: testPlan(7).WithOpenAccess()})
	require.Equal(t, 1, e.board.AccessChanges)
	require.Contains(t, logsOf(e.step(input.PlanRead{Plan: testPlan(8).WithOrganisations(nil)})), "Requests need a key from now on.")
	require.Equal(t, 2, e.board.AccessChanges)
}

// Guards against a refusal whose log line doesn't tell which published state it is based on.
func TestRefusalTellsWhatTheEntryHasRead(t *testing.T) {
	e := newTestEntry(t).configure(1)
	e.step(input.Confirmed{At: point.Point{Era: 2, Revision: 12}})
	_, out := e.request("/unknown/1", 100, 0)
	basis := out.(output.Reply).Reply.Basis
	require.Equal(t, call.Basis{PlanVersion: 5, ReadTo: point.Point{Era: 2, Revision: 12}, ListAt: point.Point{Revision: 10}}, basis)
}

// Guards against a source that comes back from an older copy without a line in the log.
func TestNewEraIsLogged(t *testing.T) {
	e := newTestEntry(t).configure(1)
	require.NotContains(t, logsOf(e.step(input.Confirmed{At: point.Point{Era: 2, Revision: 12}})), "Era of published state has changed.")
	require.Contains(t, logsOf(e.step(input.Confirmed{At: point.Point{Era: 3, Revision: 8}})), "Era of published state has changed.")
}
