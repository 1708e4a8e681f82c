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

func startCluster(t *testing.T, spec stack.Spec) *stack.Cluster {
	spec.Domains = []ident.Domain{"north", "south", "harbour"}
	spec.Logger = logs.Discard()
	started, err := stack.Start(spec)
	require.NoError(t, err)
	t.Cleanup(started.Close)
	return started
}

// An answer that is interrupted, truncated, mixed up with that of another attempt, refused
// or late must not reach the caller as complete. The prompt must be completed by another
// engine.
func TestFaultyAnswers(t *testing.T) {
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
	c := client.New(stack.OrganisationName)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			// Each case starts its own entry, because an entry has one retry budget.
			s := startCluster(t, stack.Spec{Entries: 1, Engines: 2})
			s.Engines[0].Server.SetFaults(test.faults)
			for i := range 3 {
				text := demo.MakePrompt(500, fmt.Sprintf("%s%d", test.name[:2], i))
				answer, err := c.Complete(context.Background(), s.Entries[0].URL("/v1/completions"),
					client.Prompt{Model: stack.ModelName, Text: text, MaxTokens: 10, Deadline: 10_000})
				require.NoError(t, err)
				require.True(t, answer.Completed, answer.Problem)
				for index, token := range answer.Tokens {
					require.Equal(t, engine.TokenText(text, index), token)
				}
			}
		})
	}
}

// A booking whose answer is lost, truncated or mixed up with that of another attempt
// must be reported as unknown. Neither the entry nor its HTTP library may send it again.
func TestLostServiceAnswers(t *testing.T) {
	s := startCluster(t, stack.Spec{Entries: 1, Services: 1})
	c := client.New(stack.OrganisationName)
	for i, injected := range []faults.Service{{DisconnectAfterCall: true}, {WrongAttempt: true}, {TruncateBody: true}} {
		s.Services[0].Server.SetFaults(injected)
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

func book(t *testing.T, c *client.Client, s *stack.Cluster, key string) client.Reply {
	reply, err := c.SendCall(context.Background(), s.Entries[0].URL(""),
		client.Call{Method: "POST", Path: "/services/" + stack.ServiceName + "/book", Key: key, Body: key, Deadline: 2000})
	require.NoError(t, err)
	return reply
}

// Requests that exceed a limit must be refused with an error that names the limit or
// the field.
func TestCallersLimits(t *testing.T) {
	s := startCluster(t, stack.Spec{Entries: 1, Engines: 1})
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
	organisation := http.Header{"Mustardhook-Organisation": {stack.OrganisationName}}
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
		"Mustardhook-Organisation": {stack.OrganisationName}, "Mustardhook-Deadline-Millis": {"soon"},
	})
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, text, "Mustardhook-Deadline-Millis")
	status, text = post(`{"model": "advice", "prompt": "`+strings.Repeat("x", 1_800_000)+`"}`, organisation)
	require.Equal(t, http.StatusRequestEntityTooLarge, status, "one engine's memory is too small")
	require.Contains(t, text, "promptTooLong")
}

// When a caller disconnects, the engine must free the memory of its prompt.
func TestCallerDisconnected(t *testing.T) {
	s := startCluster(t, stack.Spec{Entries: 1, Engines: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.New(stack.OrganisationName).Complete(ctx, s.Entries[0].URL("/v1/completions"),
		client.Prompt{Model: stack.ModelName, Text: demo.MakePrompt(2000, "gone"), MaxTokens: 5000})
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.Engines[0].Server.UsedTokens() == 0 }, 3*time.Second, 20*time.Millisecond)
}

// Entries with TLS settings must reach each other with client certificates. The peers'
// port must refuse a connection without TLS.
func TestPeersOverTLS(t *testing.T) {
	files := writeCertificates(t)
	s := startCluster(t, stack.Spec{Entries: 2, Engines: 1, EditSettings: func(settings *setup.Settings) { settings.Peers.TLS = files }})
	for _, entry := range s.Entries {
		require.Eventually(t, func() bool { return entry.CounterValue("peers.messagesIn") > 0 }, 10*time.Second, 50*time.Millisecond)
	}
	response, err := http.Get("http://" + s.Entries[0].Settings.Peers.Address)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
	}
}

// writeCertificates writes a self-signed certificate for the loopback address, which is
// also its own authority.
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
