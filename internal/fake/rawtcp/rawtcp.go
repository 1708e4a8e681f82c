// Package rawtcp serves TCP connections with bytes that no HTTP server would send.
package rawtcp

import (
	"bufio"
	"io"
	"net"
	"net/http"

	"github.com/go-faster/errors"
)

const windowBytes = 4 << 10

// Serve listens on a loopback address and calls handle for each connection, which is closed afterwards. It ends when
// the listener is closed.
func Serve(handle func(*net.TCPConn)) (net.Listener, error) {
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn)
			}()
		}
	}()
	return listener, nil
}

// Answer returns a handler that reads the head of a request and sends the text.
func Answer(text string) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, text)
		}
	}
}

// AnswerAndReset returns a handler that sends the text once it has read the head of a request, and resets the connection.
func AnswerAndReset(text string) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		// A small window keeps the sender of a long body writing.
		_ = conn.SetReadBuffer(windowBytes)
		Answer(text)(conn)
		_ = conn.SetLinger(0)
	}
}
