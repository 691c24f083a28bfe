package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// keptChannels is the number of consumers with an open channel. Each sends its next request
	// between firstSend and lastSend after the signal to stop.
	keptChannels        = 40
	firstSend, lastSend = 2600 * time.Millisecond, 3600 * time.Millisecond
	// excusedUntil is the time after the signal until which the rule excuses requests at which
	// the replica is still at work at the end of the grace.
	excusedUntil = 3 * time.Second
	slowWork     = 5 * time.Second
	slowTimeout  = 8 * time.Second
)

// keptChannel is a channel of a consumer that is kept open for many requests.
type keptChannel struct {
	conn   net.Conn
	in     *bufio.Reader
	closed atomic.Bool
}

// send sends a request and reads the answer.
func (c *keptChannel) send(id, body string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(slowTimeout + time.Second))
	_, err := fmt.Fprintf(c.conn, "POST /hold/slot HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n"+
		"Authorization: %s\r\nContent-Length: %d\r\n\r\n%s", id, slowTimeout.Milliseconds(), key["Authorization"], len(body), body)
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if response.Close {
		c.closed.Store(true)
	}
	return answer{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// playStop stops a front machine with SIGTERM while consumers have open channels to it. Their
// next requests take less time than their route and they themselves allow.
func playStop(p *platform, trouble bool) (bool, error) {
	core, err := p.startCore(3)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	ran := map[string]bool{}
	for i := 1; i <= 3; i++ {
		r, err := p.addReplica(100+i, "desk", fmt.Sprintf("hall-%d", i), 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.run = func(r *replica, id string, request *http.Request, body []byte) bool {
			p.record.note(r.id, "runs %s", id)
			mu.Lock()
			ran[id] = true
			mu.Unlock()
			if strings.HasPrefix(string(body), "slow") {
				select {
				case <-request.Context().Done():
					p.record.note(r.id, "the channel of %s was closed while it ran", id)
				case <-time.After(slowWork):
				}
			}
			return false
		}
	}
	state := strings.Replace(plainState(1), `"timeout-ms":800`, fmt.Sprintf(`"timeout-ms":%d`, slowTimeout.Milliseconds()), 1)
	if !p.putUntilAcked(core, state, 15*time.Second) {
		return false, errors.New("the first desired state was not acknowledged")
	}
	front := core[0]
	entry, err := p.start(front, "entry", true)
	if err != nil {
		return false, err
	}
	if !p.waitReady(front, 15*time.Second) {
		return false, fmt.Errorf("%s did not become ready", front.name)
	}
	time.Sleep(contactWindow)
	var channels []*keptChannel
	for i := 0; i < keptChannels; i++ {
		conn, err := net.Dial("tcp", net.JoinHostPort(front.ip, strconv.Itoa(p.ports.front)))
		if err != nil {
			return false, err
		}
		defer func() { _ = conn.Close() }()
		c := &keptChannel{conn: conn, in: bufio.NewReader(conn)}
		if a := c.send(fmt.Sprintf("first%d", i), "quick"); a.err != nil || a.status != http.StatusOK {
			return false, fmt.Errorf("first request: %s", a.text())
		}
		channels = append(channels, c)
	}
	signaled := time.Now()
	if trouble {
		entry.signal(syscall.SIGTERM)
		p.record.note("platform", "SIGTERM to entry on %s", front.name)
		time.AfterFunc(graceSeconds*time.Second, func() { entry.signal(syscall.SIGKILL) })
	}
	var wg sync.WaitGroup
	var sent, answered, refused, crossed, excused, lost atomic.Int64
	for i, c := range channels {
		wg.Add(1)
		go func() {
			defer wg.Done()
			at := firstSend + (lastSend-firstSend)*time.Duration(i)/keptChannels
			time.Sleep(at - time.Since(signaled))
			if c.closed.Load() {
				return
			}
			id := fmt.Sprintf("slow%d", i)
			sentAt := time.Since(signaled)
			p.record.note("consumer", "sends %s %.3f s after the signal, on a kept channel", id, sentAt.Seconds())
			sent.Add(1)
			a := c.send(id, "slow "+id)
			mu.Lock()
			passedOn := ran[id]
			mu.Unlock()
			p.record.note("consumer", "%s, %.3f s after the signal: %s", id, time.Since(signaled).Seconds(), a.text())
			switch {
			case a.err == nil && a.status == http.StatusOK:
				answered.Add(1)
			case a.err == nil && a.status == http.StatusServiceUnavailable && !passedOn:
				refused.Add(1)
			case a.err != nil && !passedOn:
				crossed.Add(1)
			case a.err != nil && sentAt <= excusedUntil:
				excused.Add(1)
			case a.err != nil:
				lost.Add(1)
			}
		}()
	}
	wg.Wait()
	p.record.say("%d requests sent on kept channels: %d answered, %d refused as not run, %d crossed the close and were not passed on",
		sent.Load(), answered.Load(), refused.Load(), crossed.Load())
	p.record.say("%d were passed on and cut off, sent at most %v after SIGTERM (excused)", excused.Load(), excusedUntil)
	p.record.say("%d were passed on and cut off, sent later than that (allowed 0)", lost.Load())
	return lost.Load() > 0, nil
}
