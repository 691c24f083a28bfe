package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// tracedPrompt asks for 400 tokens, each of which names its generation and index.
const tracedPrompt = "[trace] [tokens=400]"

// openStreams opens streams until one runs on each agent host, and returns one
// stream per host.
func (c *cluster) openStreams(entry int) map[string]*streamReader {
	c.t.Helper()
	byHost := map[string]*streamReader{}
	c.eventually("a stream runs on each agent", func() bool {
		// Prompts with different prefixes have no preferred server in common.
		if r := c.generate(entry, fmt.Sprint(time.Now().UnixNano(), tracedPrompt)); r != nil && len(r.read(5).tokens) == 5 {
			byHost[r.host()] = r
		}
		return len(byHost) == 2
	})
	return byHost
}

// waitCallBegun waits until the service book-desk has started the call with this
// key. Each probe is a repeatable call with the same body, which the service
// counts too.
func (c *cluster) waitCallBegun(key string) {
	c.t.Helper()
	probes := 0
	c.eventually("the call has begun", func() bool {
		resp := c.send(1, "GET", "/services/book-desk/slots", key)
		if resp == nil || resp.StatusCode != 200 {
			return false
		}
		var body struct{ Run int }
		probes++
		return json.NewDecoder(resp.Body).Decode(&body) == nil && body.Run > probes
	})
}

// TestEntryKilled guards against a stream that cannot be resumed at another entry
// and a non-repeatable call that runs again after its entry was killed.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 8)
	r := c.generate(0, tracedPrompt).read(20)
	var call sync.WaitGroup
	call.Go(func() { c.postSwap(0, "?delay=1s", "k1") })
	c.waitCallBegun("k1")
	c.processes["e1"].stop(syscall.SIGKILL)
	call.Wait()
	r.read(0)
	if r.done {
		t.Fatal("the stream ended before its entry was killed")
	}
	id := r.lastID[:strings.LastIndex(r.lastID, ":")]
	rest := newStreamReader(c.send(1, "GET", "/v1/streams/"+id, "", "Last-Event-ID", r.lastID)).read(0)
	rest.checkTokens(t, len(r.tokens), 400-len(r.tokens))
	if status, _ := c.postSwap(1, "?delay=1s", "k1"); status != "409 may_have_run" {
		t.Errorf("call of the killed entry: %s", status)
	}
	c.processes["e1"].start()
	c.waitReady()
	if status, body := c.postSwap(0, "", "k2"); status != "200 ran" || !strings.Contains(body, `"run":1`) {
		t.Errorf("call at the restarted entry: %s %s", status, body)
	}
}

// TestAgentKilled guards against wrong verdicts and text of mixed generations
// when an agent is killed, and against a restarted agent that gets no work.
func TestAgentKilled(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 8)
	byHost := c.openStreams(0)
	var status string
	var call sync.WaitGroup
	call.Go(func() { status, _ = c.postSwap(0, "?delay=5s", "k1") })
	c.waitCallBegun("k1")
	c.processes["a1"].stop(syscall.SIGKILL)
	call.Wait()
	if !strings.HasSuffix(status, " may_have_run") {
		t.Errorf("call at the killed agent: %s", status)
	}
	if s, _ := c.postSwap(1, "?delay=5s", "k1"); s != "409 may_have_run" {
		t.Errorf("repeated call: %s", s)
	}
	byHost["a2"].read(0).checkTokens(t, 0, 400)
	c.processes["a1"].start()
	c.waitReady()
	if r := byHost["a1"].read(0); r.done || !strings.HasSuffix(r.errorCodes, "may_have_run") {
		t.Errorf("stream of the killed agent: done=%t, errors %q", r.done, r.errorCodes)
	}
	if s, body := c.postSwap(0, "", "k2"); s != "200 ran" || !strings.Contains(body, `"run":1`) {
		t.Errorf("call at the restarted agent: %s %s", s, body)
	}
}

// TestAgentFrozen guards against tokens that are lost or repeated when an agent
// is suspended for longer than the silence limit of connections and then resumes.
func TestAgentFrozen(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 8)
	byHost := c.openStreams(0)
	c.processes["a2"].signal(syscall.SIGSTOP)
	byHost["a1"].read(0).checkTokens(t, 0, 400)
	time.Sleep(7 * time.Second)
	c.processes["a2"].signal(syscall.SIGCONT)
	byHost["a2"].read(0).checkTokens(t, 0, 400)
}

// TestEngineConnectionsSilent guards against a stream that waits forever because
// the connection between agent and engine drops all bytes.
func TestEngineConnectionsSilent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 8)
	byHost := c.openStreams(1)
	c.proxy.dropBytes()
	byHost["a1"].read(0).checkTokens(t, 0, 400)
	byHost["a2"].read(0).checkTokens(t, 0, 400)
}

// TestGracefulShutdown guards against running and queued streams and calls that
// are aborted by a SIGTERM to a daemon of any role.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1)
	var requests sync.WaitGroup
	for i := range 6 {
		requests.Go(func() { c.generate(i%2, fmt.Sprint(i, "[trace] [tokens=150]")).read(0).checkTokens(t, 0, 150) })
	}
	requests.Go(func() {
		if status, body := c.postSwap(0, "?delay=2s", "k1"); status != "200 ran" {
			t.Errorf("call: %s %s", status, body)
		}
	})
	c.waitCallBegun("k1")
	c.eventually("streams are queued", func() bool {
		return c.runningRequests(c.engines[0]) > 0 && c.runningRequests(c.engines[1]) > 0
	})
	c.terminate("e1", "a1", "a2")
	requests.Wait()
	// A daemon that runs only an engine also finishes its streams.
	resp, err := http.Post("http://"+c.engines[1]+"/v1/completions", "application/json",
		strings.NewReader(`{"prompt":"[trace] [tokens=100]"}`))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	r := newStreamReader(resp).read(5)
	requests.Go(func() { r.read(0).checkTokens(t, 0, 100) })
	c.terminate("s1", "s2", "e2")
	requests.Wait()
}

// terminate sends SIGTERM to processes and waits until they have exited.
func (c *cluster) terminate(names ...string) {
	var stops sync.WaitGroup
	for _, name := range names {
		stops.Go(func() {
			if code := c.processes[name].stop(syscall.SIGTERM); code != 0 {
				c.t.Errorf("%s exited with code %d", name, code)
			}
		})
	}
	stops.Wait()
}

// runningRequests returns the number of requests that an engine is running, or 0
// if it does not respond.
func (c *cluster) runningRequests(address string) int {
	resp, err := http.Get("http://" + address + "/load")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var body struct{ Running int }
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return body.Running
}
