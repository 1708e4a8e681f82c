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
	"mustardhook/internal/flow/pool"
	"mustardhook/internal/flow/tally"
)

func requireReply(t *testing.T, got output.Output, reason call.Reason, status int) call.Reply {
	t.Helper()
	reply, is := got.(output.Reply)
	require.True(t, is, "got %T %+v", got, got)
	require.Equal(t, reason, reply.Reply.Reason)
	require.Equal(t, status, reply.Reply.Status)
	return reply.Reply
}

func requireSend(t *testing.T, got output.Output) call.Send {
	t.Helper()
	send, is := got.(output.Send)
	require.True(t, is, "got %T %+v", got, got)
	return send.Send
}

func TestRefusalsBeforeAnyRoute(t *testing.T) {
	w := newWorld(t)
	_, got := w.ask("/book/1", 0, 1500)
	requireReply(t, got, call.ReasonNoPlan, http.StatusServiceUnavailable)
	w.serve(4)
	_, got = w.ask("/nowhere/1", 0, 1500)
	requireReply(t, got, call.ReasonNoRoute, http.StatusNotFound)
	emitted := w.step(input.RequestReceived{Request: call.Request{Number: 900, Host: host, Path: "/book/", Key: "stolen"}})
	requireReply(t, w.of(900, emitted), call.ReasonBadKey, http.StatusUnauthorized)
}

// A booking whose answer is lost may have run: it is never sent again, and the
// answer promises nothing.
func TestLostBookingIsNotSentAgain(t *testing.T) {
	w := newWorld(t).serve(4)
	number, got := w.ask("/book/1", 0, 1500)
	requireSend(t, got)
	got = w.end(call.Result{Number: number, End: call.EndAnswerLost})
	requireReply(t, got, call.ReasonAnswerLost, http.StatusBadGateway)
}

// A booking that an endpoint did not run goes to another endpoint, and when none
// runs it the refusal says that it has not run.
func TestBookingThatDidNotRunGoesElsewhere(t *testing.T) {
	w := newWorld(t).serve(4)
	number, got := w.ask("/book/1", 0, 1500)
	first := requireSend(t, got)
	second := requireSend(t, w.end(call.Result{Number: number, End: call.EndNotRun, Refused: true}))
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	third := requireSend(t, w.end(call.Result{Number: number, End: call.EndNotRun, Unreachable: true}))
	require.NotContains(t, []any{first.Endpoint, second.Endpoint}, third.Endpoint)
	reply := requireReply(t, w.end(call.Result{Number: number, End: call.EndNotRun}), call.ReasonOverload,
		http.StatusServiceUnavailable)
	require.Positive(t, reply.RetryAfter)
}

func TestFailedReadGoesElsewhereOnce(t *testing.T) {
	w := newWorld(t).serve(4)
	number, got := w.ask("/read/1", 0, 1500)
	first := requireSend(t, got)
	second := requireSend(t, w.end(call.Result{Number: number, End: call.EndComplete, Status: 500}))
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	got = w.end(call.Result{Number: number, End: call.EndComplete, Status: 500})
	require.IsType(t, output.Deliver{}, got)
}

func TestBrokenStreamResumesOnlyWhereItMay(t *testing.T) {
	w := newWorld(t).serve(4)
	number, got := w.ask("/short/1", 5000, 10000)
	first := requireSend(t, got)
	w.step(input.FirstEventSent{Number: number})
	second := requireSend(t, w.end(call.Result{Number: number, End: call.EndAnswerLost, Delivered: true}))
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	require.IsType(t, output.Abort{}, w.end(call.Result{Number: number, End: call.EndAnswerLost, Delivered: true}))

	number, got = w.ask("/fixed/1", 5000, 10000)
	requireSend(t, got)
	requireReply(t, w.end(call.Result{Number: number, End: call.EndAnswerLost}), call.ReasonAnswerLost, http.StatusBadGateway)
}

// After a run that broke, a refusal elsewhere can't be passed on as "not run".
func TestRefusalAfterARunPromisesNothing(t *testing.T) {
	w := newWorld(t).serve(2)
	number, got := w.ask("/read/1", 0, 1500)
	requireSend(t, got)
	requireSend(t, w.end(call.Result{Number: number, End: call.EndAnswerLost}))
	got = w.end(call.Result{Number: number, End: call.EndNotRun})
	for range 3 {
		if _, is := got.(output.Send); is {
			got = w.end(call.Result{Number: number, End: call.EndNotRun})
		}
	}
	requireReply(t, got, call.ReasonOverload, http.StatusBadGateway)
}

func TestRetriesAreBounded(t *testing.T) {
	w := newWorld(t).serve(4)
	sends := 0
	for range 300 {
		number, got := w.ask("/read/1", 0, 1500)
		for {
			if _, is := got.(output.Send); !is {
				break
			}
			sends++
			got = w.end(call.Result{Number: number, End: call.EndAnswerLost})
		}
	}
	require.LessOrEqual(t, float64(sends-300), 0.2*300+200)
}

// A request that was running when two endpoints ended is not sent to a third.
func TestCrashingRequestIsConvicted(t *testing.T) {
	w := newWorld(t).serve(6)
	ask := func() output.Output {
		w.numbers++
		asked := call.Request{
			Number: w.numbers, Host: host, Path: "/short/1", Key: knownKey, PromptTokens: 5000, CallerTimeout: 10000,
			Fingerprint: 77,
		}
		return w.of(w.numbers, w.step(input.RequestReceived{Request: asked}))
	}
	got := ask()
	for i := range 2 {
		send := requireSend(t, got)
		got = w.end(call.Result{Number: send.Number, End: call.EndAnswerLost})
		w.step(input.EndpointRemoved{Name: send.Endpoint, Revision: 11 + uint64(i)})
		if _, isSent := got.(output.Send); !isSent {
			got = ask()
		}
	}
	requireReply(t, ask(), call.ReasonCrashesEndpoints, http.StatusServiceUnavailable)
}

func TestPlanNeverGoesBack(t *testing.T) {
	w := newWorld(t).serve(4)
	w.step(input.PlanRead{Plan: planOf(9)})
	w.step(input.PlanRead{Plan: planOf(7)})
	require.EqualValues(t, 9, w.board.Plan.Version)
}

func TestNewerPlanOfAPeerIsFetched(t *testing.T) {
	w := newWorld(t).serve(4)
	w.hear("entry-2", func(n *input.News) { n.PlanVersion = 6 })
	w.pass(300)
	require.NotContains(t, w.outputs, output.FetchPublished{Address: "10.9.0.1:9000", PlanVersion: 5, ListRevision: 10})
	w.pass(400)
	require.Contains(t, w.outputs, output.FetchPublished{Address: "10.9.0.1:9000", PlanVersion: 5, ListRevision: 10})
}

// While a failure domain is cut off, one failure there takes all of it out of use.
func TestSilentDomainIsLeftOutAfterOneFailure(t *testing.T) {
	w := newWorld(t).serve(6)
	w.hear("entry-2", nil)
	w.pass(1500)
	endpoint := w.board.Pool.Find("engine-01")
	require.EqualValues(t, "south", endpoint.Domain)
	failed := false
	for range 40 {
		number, got := w.ask("/short/1", 5000, 10000)
		send := requireSend(t, got)
		isSouth := w.board.Pool.Find(send.Endpoint).Domain == "south"
		require.False(t, failed && isSouth, "sent to the cut domain")
		if isSouth {
			w.end(call.Result{Number: number, End: call.EndNotRun, Unreachable: true})
			failed = true
		}
	}
	require.True(t, failed)
}

// A domain whose entries speak is not condemned by one failed endpoint.
func TestSpeakingDomainIsNotCondemned(t *testing.T) {
	w := newWorld(t).serve(6)
	w.hear("entry-2", nil)
	number, got := w.ask("/short/1", 5000, 10000)
	requireSend(t, got)
	w.board.Requests[number].Endpoint = "engine-01"
	w.end(call.Result{Number: number, End: call.EndNotRun, Unreachable: true})
	require.False(t, w.board.Pool.IsUnreachable("south", w.board.Now))
}

func TestWorkOfSilentEntryIsForgotten(t *testing.T) {
	w := newWorld(t).serve(4)
	w.hearWork(workOf(3, "engine-00"))
	require.Equal(t, 3, w.board.Pool.Find("engine-00").Leads())
	w.pass(2500)
	require.Zero(t, w.board.Pool.Find("engine-00").Leads())
}

func TestRequestEndsByItsRoutesTimeout(t *testing.T) {
	w := newWorld(t).serve(0)
	w.step(input.PlanRead{Plan: planOf(6)})
	w.step(input.EndpointRead{Entry: pool.Listing{Name: "desk-0", Service: desk, Address: "10.2.0.0:80", Slots: 6}, Revision: 11})
	number, got := w.ask("/book/1", 0, 60000)
	send := requireSend(t, got)
	require.LessOrEqual(t, send.TimeLeft, clock.Millis(800))
	requireReply(t, w.end(call.Result{Number: number, End: call.EndTimeout}), call.ReasonTimeout, http.StatusGatewayTimeout)
}

// A process that starts again after the time of day jumped back is heard.
func TestLowerLifeIsHeardAfterASilence(t *testing.T) {
	w := newWorld(t).serve(4)
	tell := func(life uint64) {
		w.hear("entry-2", func(n *input.News) {
			n.Epoch = life
			n.PlanVersion = plan.Version(life)
		})
		part := tally.Aggregate{Hub: tally.EntryHashOf("entry-2"), Epoch: life, Sequence: 1, Loads: workOf(int(life), "engine-00")}
		w.step(input.NewsReceived{Batch: input.Batch{Sender: "entry-2", Aggregates: []tally.Aggregate{part}}})
	}
	tell(9)
	tell(4)
	require.Equal(t, 9, w.board.Pool.Find("engine-00").Leads())
	require.EqualValues(t, 9, w.board.Peers["entry-2"].News.PlanVersion)
	w.pass(1000)
	tell(4)
	require.Equal(t, 4, w.board.Pool.Find("engine-00").Leads())
	require.EqualValues(t, 4, w.board.Peers["entry-2"].News.PlanVersion)
}

// A stopped entry takes requests until the balancer has noticed, and refuses those
// that it could not finish.
func TestStoppedEntryRefusesWhatComesLate(t *testing.T) {
	w := newWorld(t).serve(4)
	w.step(input.StopRequested{})
	_, got := w.ask("/short/1", 5000, 10000)
	requireSend(t, got)
	w.pass(3000)
	_, got = w.ask("/short/2", 5000, 10000)
	reply := requireReply(t, got, call.ReasonStopping, http.StatusServiceUnavailable)
	require.Positive(t, reply.RetryAfter)
}

// Endpoints that can't be reached any more are no sign of a crashing request.
func TestCutIsNoCrash(t *testing.T) {
	w := newWorld(t).serve(6)
	for range 4 {
		number, got := w.ask("/short/1", 5000, 10000)
		first := requireSend(t, got)
		w.board.Requests[number].Request.Fingerprint = 77
		if _, isSent := w.end(call.Result{Number: number, End: call.EndAnswerLost}).(output.Send); isSent {
			w.board.Requests[number].Endpoint = first.Endpoint
			w.end(call.Result{Number: number, End: call.EndNotRun, Unreachable: true})
		}
	}
	require.Empty(t, w.board.Crashes)
}

// A request that lasts longer than its route allows says nothing of its endpoint.
func TestLongRequestsDoNotRestTheirEndpoints(t *testing.T) {
	w := newWorld(t).serve(4)
	for range 9 {
		number, got := w.ask("/book/1", 0, 1500)
		requireSend(t, got)
		w.end(call.Result{Number: number, End: call.EndTimeout})
	}
	for _, endpoint := range w.board.Pool.ByService(desk) {
		require.True(t, endpoint.IsUsable(w.board.Now))
	}
}

// An entry that can't read the list itself still learns from others what has left:
// their lists say which endpoints are in doubt. It must not spare others, nor hand
// on a doubt that brings back what is gone elsewhere.
func TestToldListSettlesWhatHasLeft(t *testing.T) {
	w := newWorld(t).serve(4)
	w.step(input.SourceLost{Reason: "test"})
	var without []pool.PeerListing
	for _, known := range w.board.Pool.Snapshot(w.board.Now) {
		if known.Name != "desk-0" {
			without = append(without, known)
		}
	}
	w.step(input.ListReceived{List: without, Revision: 11})
	require.False(t, w.board.Pool.Find("desk-0").IsUsable(w.board.Now))
	require.Equal(t, without, w.board.Pool.Snapshot(w.board.Now))

	gone := pool.Listing{Name: "desk-0", Service: desk, Address: "10.2.0.0:80", Domain: "north", Slots: 6, Epoch: 1}
	inDoubt := append(without, pool.PeerListing{Listing: gone, RemovalGrace: 900})
	w.step(input.ListReceived{List: inDoubt, Revision: 12})
	require.False(t, w.board.Pool.Find("desk-0").IsUsable(w.board.Now))
	back := append(without, pool.PeerListing{Listing: gone})
	w.step(input.ListReceived{List: back, Revision: 13})
	require.True(t, w.board.Pool.Find("desk-0").IsUsable(w.board.Now))
}

// Endpoints whose entries lapsed while the list could not be read are back after its
// return. That they vanished in between is no sign that they leave, and must not be
// told as one (a day of cork-snowdesk refused everything for six seconds).
func TestLapsedEndpointsAreNotToldToLeave(t *testing.T) {
	w := newWorld(t).serve(4)
	w.step(input.SourceLost{Reason: "test"})
	w.pass(3 * clock.Second)
	w.step(input.SourceRecovered{})
	w.step(input.EndpointRemoved{Name: "desk-0", Revision: 20})
	require.Empty(t, w.board.Pool.RecentlyLeaving(w.board.Now))
	require.True(t, w.board.Pool.Find("desk-0").IsUsable(w.board.Now), "in doubt")
	back := pool.Listing{Name: "desk-0", Service: desk, Address: "10.2.0.0:80", Domain: "north", Slots: 6, Epoch: 1}
	w.step(input.EndpointRead{Entry: back, Revision: 21})
	require.Empty(t, w.board.Pool.RecentlyLeaving(w.board.Now))
	require.True(t, w.board.Pool.Find("desk-0").IsUsable(w.board.Now))

	// One that is still missing when the doubt ends is gone, and others hear of it.
	w.step(input.EndpointRemoved{Name: "desk-1", Revision: 22})
	w.pass(pool.RemovalGrace)
	require.False(t, w.board.Pool.Find("desk-1").IsUsable(w.board.Now))
	w.step(input.EndpointRemoved{Name: "desk-2", Revision: 23})
	require.Equal(t, []pool.Hash{pool.HashOf("desk-2")}, w.board.Pool.RecentlyLeaving(w.board.Now))

	// What is listed again does not leave.
	back.Name = "desk-2"
	back.Address = "10.2.0.2:80"
	back.Domain = "harbour"
	w.step(input.EndpointRead{Entry: back, Revision: 24})
	require.Empty(t, w.board.Pool.RecentlyLeaving(w.board.Now))
}
