package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// leastUnanswered is the number of unanswered requests from which on a share of them is judged.
	leastUnanswered = 8
	answerDelay     = 500 * time.Millisecond
	// retryPause is the time after which a client of a crowd connects again.
	retryPause = 100 * time.Millisecond

	// bodyCrowd is the number of clients that announce bodies.
	bodyCrowd    = 1600
	bodyRequests = 150
	bodyTimeout  = 4 * time.Second
	bodyPatience = 6 * time.Second

	// announcedBytes is the size of an announced body.
	announcedBytes = 4000

	// aheadCrowd is the number of clients that send ahead to each machine. They send aheadPiece at a time, with
	// pauses, so that together they take less than half of its link.
	aheadCrowd   = 1100
	aheadPiece   = 4 << 10
	aheadPause   = 120 * time.Millisecond
	aheadWork    = 700 * time.Millisecond
	aheadTimeout = 100 * time.Millisecond
	aheadTime    = 70 * time.Second
	// readAhead is more than a process has read of a connection beyond the request that it answers.
	readAhead   = 8 << 10
	measurement = 100 * time.Millisecond
	// mostEnds is the number of ends of processes by themselves, on each of two machines, that breaks the rule.
	mostEnds = 3
)

// announcement is the head of a request with a body.
func announcement(bodyBytes int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: c%d\r\nDeadline-Ms: 4000\r\nAuthorization: Token %s\r\n"+
		"Content-Length: %d\r\n\r\n", pathPay, host, attempts.Add(1), keyFlood, bodyBytes)
}

// checkUnanswered checks the rule CONFIG on requests that are unanswered at the timeout of their route.
func checkUnanswered(r *record, sent []outcome, timeout time.Duration) verdict {
	unanswered, late, served := 0, 0, 0
	for _, o := range sent {
		took := o.endedAt.Sub(o.sentAt)
		if o.status == statusOK && o.err == nil {
			served++
		}
		if o.err == nil && took <= timeout {
			continue
		}
		unanswered++
		if o.err != nil || took > timeout+answerDelay {
			late++
		}
	}
	r.logf("%d bookings of ordinary clients, %d served; %d unanswered at the timeout of their route, %d of these half a second later",
		len(sent), served, unanswered, late)
	return verdict{isBroken: unanswered >= leastUnanswered && 2*late > unanswered}
}

// playBodies has a crowd of clients announce bodies that they do not send, while others send bookings on new connections.
func playBodies(r *record, folder string, hasTrouble bool) verdict {
	zone := zoneNames[0]
	config := configure(7, []object{payRoute(int(bodyTimeout.Milliseconds()))}, []object{plainService()},
		[]string{"key-1"})
	d, err := deploy(folder, []string{zone}, []string{zone, zone, zone}, config, smallest, paymentTime)
	defer d.stop()
	if err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	node := d.relays[0]
	var opened atomic.Int64
	if hasTrouble {
		r.logf("a crowd of %d clients begins to announce bodies", bodyCrowd)
		for range bodyCrowd {
			d.group.Go(func() { announceBodies(node.callers, d.done, &opened) })
		}
		time.Sleep(settleTime)
	}
	var group sync.WaitGroup
	for range bodyRequests {
		group.Go(func() { d.sent.add(newClient(node.callers).send(pathPay, "key-1", "permit", bodyPatience)) })
		time.Sleep(bookPause)
	}
	group.Wait()
	r.logf("the crowd has opened %d connections; ended by itself %t", opened.Load(), node.hasEnded())
	d.finish(r)
	return checkUnanswered(r, d.sent.list(), bodyTimeout)
}

// announceBodies opens connections one after the other, and sends the head of a request with a body on each.
func announceBodies(address string, done chan struct{}, opened *atomic.Int64) {
	for {
		select {
		case <-done:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		opened.Add(1)
		_, _ = io.WriteString(conn, announcement(announcedBytes))
		closed := make(chan struct{})
		go func() {
			select {
			case <-done:
			case <-closed:
			}
			_ = conn.Close()
		}()
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}
}

// playUnread has a crowd of clients send on while their requests are being answered. Like the platform, it ends
// a process whose memory, with what was received and not read, is over the limit of its machine, and starts it again.
func playUnread(r *record, folder string, hasTrouble bool) verdict {
	zones := zoneNames[:2]
	config := configure(7, []object{payRoute(800)}, []object{plainService()}, []string{"key-1"})
	d, err := deploy(folder, zones, zoneNames, config, cork, aheadWork)
	defer d.stop()
	if err != nil {
		return verdict{err: err}
	}
	time.Sleep(settleTime)
	unread := make([][]atomic.Int64, len(d.relays))
	for i, node := range d.relays {
		d.book(newClient(node.callers), "key-1")
		unread[i] = make([]atomic.Int64, aheadCrowd)
		if !hasTrouble {
			continue
		}
		for j := range aheadCrowd {
			d.group.Go(func() { sendAhead(node.callers, d.done, &unread[i][j]) })
		}
	}
	limit := int64(cork.memoryMegabytes) << 20
	ends := make([]int, len(d.relays))
	for end := time.Now().Add(aheadTime); time.Now().Before(end) && !areMany(ends); time.Sleep(measurement) {
		for i, node := range d.relays {
			received := int64(0)
			for j := range unread[i] {
				received += unread[i][j].Load()
			}
			resident := node.residentBytes()
			if received+resident <= limit {
				continue
			}
			ends[i]++
			r.logf("%s: resident %d MB, received and not read %d MB, limit %d MB: the platform ends it, for the %dth time", node.name,
				resident>>20, received>>20, limit>>20, ends[i])
			node.stop()
			for j := range unread[i] {
				unread[i][j].Store(0)
			}
			if err := node.start(); err != nil {
				return verdict{err: err}
			}
		}
	}
	d.finish(r)
	lost := 0
	for _, o := range d.sent.list() {
		if o.err != nil {
			lost++
		}
	}
	r.logf("ends by machine: %v; %d of %d bookings of ordinary clients were cut off", ends, lost, len(d.sent.list()))
	return verdict{isBroken: areMany(ends)}
}

// areMany reports whether processes ended by themselves so often on each machine that the rule is broken.
func areMany(ends []int) bool {
	for _, count := range ends {
		if count < mostEnds {
			return false
		}
	}
	return true
}

// sendAhead opens connections one after the other. On each it sends a request and, while that is being answered, the
// next ones until the connection takes no more.
func sendAhead(address string, done chan struct{}, unread *atomic.Int64) {
	for {
		select {
		case <-done:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp4", address, time.Second)
		if err != nil {
			time.Sleep(retryPause)
			continue
		}
		fillConnection(conn.(*net.TCPConn), done, unread)
		unread.Store(0)
		_ = conn.Close()
	}
}

// fillConnection sends requests without a body on the connection until it ends.
func fillConnection(conn *net.TCPConn, done chan struct{}, unread *atomic.Int64) {
	sent, pending := int64(0), []byte(announcement(0))
	for {
		select {
		case <-done:
			return
		case <-time.After(aheadPause):
		}
		for len(pending) < aheadPiece {
			pending = append(pending, announcement(0)...)
		}
		_ = conn.SetWriteDeadline(time.Now().Add(aheadTimeout))
		count, err := conn.Write(pending[:aheadPiece])
		pending = pending[count:]
		sent += int64(count)
		// The process may have read a little more than the request that is being answered.
		unread.Store(max(sent-unacknowledged(conn)-readAhead, 0))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// unacknowledged returns the number of bytes that the kernel of the other side has not taken.
func unacknowledged(conn *net.TCPConn) int64 {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	left := 0
	_ = raw.Control(func(descriptor uintptr) { left, _ = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ) })
	return int64(left)
}
