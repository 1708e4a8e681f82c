package mustardhook_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mustardhook/internal/core/ident"
	"mustardhook/internal/fake/engine"
	"mustardhook/internal/fake/stack"
	"mustardhook/internal/serve/logs"
	"mustardhook/internal/tool/client"
	"mustardhook/internal/tool/demo"
	"mustardhook/internal/wire/faults"
	"mustardhook/internal/wire/setup"
)

func startStack(t *testing.T, plan stack.Plan) *stack.Stack {
	plan.Domains = []ident.Domain{"north", "south", "harbour"}
	plan.Logger = logs.Discard()
	started, err := stack.Start(plan)
	require.NoError(t, err)
	t.Cleanup(started.Close)
	return started
}

// Answers that are cut, truncated, crossed or late never reach a caller as whole
// ones, and the prompt ends elsewhere with its own whole answer.
func TestAnswersOnDemand(t *testing.T) {
	cases := []struct {
		name   string
		faults faults.Engine
	}{
		{"01-cut", faults.Engine{DisconnectAfter: 3}},
		{"02-truncated", faults.Engine{TruncateAfter: 4}},
		{"03-crossed", faults.Engine{WrongAttempt: true}},
		{"04-refused", faults.Engine{Refuse: true}},
		{"05-late", faults.Engine{Delay: 300}},
	}
	c := client.New(stack.Organisation)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			// Each case has an entry with its own budget of retries.
			s := startStack(t, stack.Plan{Entries: 1, Engines: 2})
			s.Engines[0].Server.SetFaults(test.faults)
			for i := range 3 {
				text := demo.PromptOf(500, fmt.Sprintf("%s%d", test.name[:2], i))
				answer, err := c.Complete(context.Background(), s.Entries[0].URL("/v1/completions"),
					client.Prompt{Model: stack.Model, Text: text, MaxTokens: 10, Deadline: 10_000})
				require.NoError(t, err)
				require.True(t, answer.Completed, answer.Problem)
				for at, token := range answer.Tokens {
					require.Equal(t, engine.TokenText(text, at), token)
				}
			}
		})
	}
}

// A booking whose answer is lost, crossed or cut is unknown, and never sent again
// by the entry or its HTTP library.
func TestLostServiceAnswers(t *testing.T) {
	s := startStack(t, stack.Plan{Entries: 1, Services: 1})
	c := client.New(stack.Organisation)
	for i, wrong := range []faults.Service{{DisconnectAfterCall: true}, {WrongAttempt: true}, {TruncateBody: true}} {
		s.Services[0].Server.SetFaults(wrong)
		key := fmt.Sprintf("key-%d", i)
		require.Eventually(t, func() bool {
			return s.Ledger.Runs(key) == 1 || book(t, c, s, key).Outcome == "unknown" && s.Ledger.Runs(key) == 1
		},
			20*time.Second, 100*time.Millisecond)
		s.Services[0].Server.SetFaults(faults.Service{})
		reply := book(t, c, s, key)
		require.Equal(t, "unknown", reply.Outcome)
		require.True(t, reply.NotSent)
		require.Equal(t, 1, s.Ledger.Runs(key))
	}
}

func book(t *testing.T, c *client.Client, s *stack.Stack, key string) client.Reply {
	reply, err := c.Do(context.Background(), s.Entries[0].URL(""),
		client.Call{Method: "POST", Path: "/services/" + stack.Service + "/book", Key: key, Body: key, Deadline: 2000})
	require.NoError(t, err)
	return reply
}

// Callers that send too much are told what and where, and nothing is kept.
func TestCallersLimits(t *testing.T) {
	s := startStack(t, stack.Plan{Entries: 1, Engines: 1})
	post := func(body string, header http.Header) (int, string) {
		request, err := http.NewRequest(http.MethodPost, s.Entries[0].URL("/v1/completions"), strings.NewReader(body))
		require.NoError(t, err)
		request.Header = header
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		text := make([]byte, 4096)
		count, _ := response.Body.Read(text)
		return response.StatusCode, string(text[:count])
	}
	organisation := http.Header{"Mustardhook-Organisation": {stack.Organisation}}
	status, text := post(`{"model": "nothing", "prompt": "x"}`, organisation)
	require.Equal(t, http.StatusNotFound, status)
	require.Contains(t, text, "unknownModel")
	status, text = post(`{"model": "advice", "prompt": "`+strings.Repeat("x", 4_000_004)+`"}`, organisation)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	require.Contains(t, text, "has 1000001 tokens, the limit is 1000000")
	status, text = post(`{"model": "advice", "prompt": "`+strings.Repeat("x", 9_000_000)+`"}`, organisation)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	require.Contains(t, text, "bodyTooLarge")
	status, _ = post(`{}`, http.Header{"Mustardhook-Organisation": {strings.Repeat("x", 1<<20)}})
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	status, text = post(`{}`, http.Header{})
	require.Equal(t, http.StatusUnauthorized, status)
	require.Contains(t, text, "unknownOrganisation")
	status, text = post(`{}`, http.Header{
		"Mustardhook-Organisation": {stack.Organisation}, "Mustardhook-Deadline-Millis": {"soon"},
	})
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, text, "Mustardhook-Deadline-Millis")
	status, text = post(`{"model": "advice", "prompt": "`+strings.Repeat("x", 1_800_000)+`"}`, organisation)
	require.Equal(t, http.StatusRequestEntityTooLarge, status, "one engine's memory is too small")
	require.Contains(t, text, "promptTooLong")
}

// A caller that leaves frees the engine's memory.
func TestCallerGone(t *testing.T) {
	s := startStack(t, stack.Plan{Entries: 1, Engines: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.New(stack.Organisation).Complete(ctx, s.Entries[0].URL("/v1/completions"),
		client.Prompt{Model: stack.Model, Text: demo.PromptOf(2000, "gone"), MaxTokens: 5000})
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.Engines[0].Server.UsedTokens() == 0 }, 3*time.Second, 20*time.Millisecond)
}

// Entries talk over TLS with client certificates; a peer without one is refused.
func TestPeersOverTLS(t *testing.T) {
	files := writeCertificates(t)
	s := startStack(t, stack.Plan{Entries: 2, Engines: 1, Change: func(settings *setup.Settings) { settings.Peers.TLS = files }})
	for _, entry := range s.Entries {
		require.Eventually(t, func() bool { return entry.Stat("peers.messagesIn") > 0 }, 10*time.Second, 50*time.Millisecond)
	}
	response, err := http.Get("http://" + s.Entries[0].Settings.Peers.Address)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	}
}

// writeCertificates makes an authority that signs itself for loopback.
func writeCertificates(t *testing.T) setup.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	keyText, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	folder := t.TempDir()
	files := setup.TLS{
		Certificate: filepath.Join(folder, "certificate"), Key: filepath.Join(folder, "key"),
		ClientCA: filepath.Join(folder, "certificate"),
	}
	require.NoError(t, os.WriteFile(files.Certificate,
		pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}), 0o600))
	require.NoError(t, os.WriteFile(files.Key,
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyText}), 0o600))
	return files
}
