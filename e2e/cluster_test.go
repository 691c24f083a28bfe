// Package e2e tests the system as a set of processes, which the tests build,
// start, kill, suspend and restart.
package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// daemonBinary and ctlBinary are the paths of arbutusmast and arbutusctl.
var daemonBinary, ctlBinary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "arbutusmast-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	daemonBinary = filepath.Join(folder, "arbutusmast")
	ctlBinary = filepath.Join(folder, "arbutusctl")
	build := exec.Command("go", "build", raceFlag, "-o", folder, "arbutusmast.example/arbutusmast/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// nextPort is the port that was tried last. Ports are below the range that the
// kernel uses for outgoing connections, so that a chosen port stays free until a
// process listens on it.
var nextPort atomic.Int32

func init() { nextPort.Store(12000 + int32(os.Getpid()%150)*100) }

func freePort(t *testing.T) string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// process is one daemon process.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	args []string
	log  string
}

func (p *process) start() {
	p.t.Helper()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(daemonBinary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop sends a signal, waits for the process to exit and returns its exit code.
func (p *process) stop(s syscall.Signal) int {
	p.signal(s)
	_ = p.cmd.Wait()
	return p.cmd.ProcessState.ExitCode()
}

// cluster has one control daemon, two stand-in engine daemons, two agents and two
// entries.
type cluster struct {
	t         *testing.T
	folder    string
	processes map[string]*process
	entries   []string
	engines   []string
	proxy     *faultProxy
}

const declaration = `[failure-domain pinecrest]
region = great-lakes
[host a1]
failure_domain = pinecrest
[host a2]
failure_domain = pinecrest
[service coach-llm]
kind = generation
[service book-desk]
kind = plain
non_repeatable = POST /swaps
[model coach]
service = coach-llm
versions = v1
[route coach-default]
service = coach-llm
model = coach
version = v1
[caller demo]
key_sha256 = c48a01f49fd0f2cc404bc3cbbc80e91457a3d41bb429a695243de4c61794155c
[backend-server coach-1]
host = a1
service = coach-llm
address = %s
max_batch = %d
[backend-server coach-2]
host = a2
service = coach-llm
address = %s
max_batch = %d
[backend-server desk-1]
host = a1
service = book-desk
address = %s
`

func (c *cluster) writeFile(name, text string) string {
	path := filepath.Join(c.folder, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// startDaemon starts a daemon with additional settings in the failure domain "pinecrest".
func (c *cluster) startDaemon(name, roles, extra string) {
	c.startDaemonIn("pinecrest", name, roles, extra)
}

// startDaemonIn starts a daemon with additional settings. At the end of the test it is
// killed, and its log is printed if the test failed.
func (c *cluster) startDaemonIn(failureDomain, name, roles, extra string) {
	text := fmt.Sprintf("[daemon]\nhost = %s\nfailure_domain = %s\nroles = %s\ndrain_timeout = 25s\n%s",
		name, failureDomain, roles, extra)
	p := &process{
		t: c.t, name: name, args: []string{"-config", c.writeFile(name+".ini", text)},
		log: filepath.Join(c.folder, name+".log"),
	}
	c.processes[name] = p
	p.start()
	c.t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL)
		if text, err := os.ReadFile(p.log); err == nil && c.t.Failed() {
			c.t.Logf("log of %s:\n%s", name, text)
		}
	})
}

// newCluster starts a cluster and waits until it is ready. Agent a1 reaches its
// engine through a faultProxy.
func newCluster(t *testing.T, maxBatch int) *cluster {
	c := &cluster{t: t, folder: t.TempDir(), processes: map[string]*process{}}
	control, engine1, engine2, desk := freePort(t), freePort(t), freePort(t), freePort(t)
	c.proxy, c.engines = newFaultProxy(t, engine1), []string{engine1, engine2}
	c.writeFile("config.d/10.ini", fmt.Sprintf(declaration, c.proxy.address(), maxBatch, engine2, maxBatch, desk))
	c.startDaemon("c1", "control", fmt.Sprintf(
		"peer_listen = %s\n[control]\ndata_folder = %s\nmember_id = 1\nmembers = 1@%s\nbootstrap_folder = %s\n",
		control, filepath.Join(c.folder, "data"), control, filepath.Join(c.folder, "config.d")))
	c.startDaemon("s1", "standin", fmt.Sprintf(
		"[standin coach-1]\nlisten = %s\ntoken_interval = 5ms\n[standin desk-1]\nkind = plain\nlisten = %s\n",
		engine1, desk))
	c.startDaemon("s2", "standin", fmt.Sprintf("[standin coach-2]\nlisten = %s\ntoken_interval = 5ms\n", engine2))
	for _, name := range []string{"a1", "a2"} {
		c.startDaemon(name, "agent", fmt.Sprintf(
			"peer_listen = %s\ncontrol_addresses = %s\n[agent]\nlink_listen = %s\n", freePort(t), control, freePort(t)))
	}
	for _, name := range []string{"e1", "e2"} {
		listen := freePort(t)
		c.startDaemon(name, "entry", fmt.Sprintf(
			"peer_listen = %s\nops_listen = %s\ncontrol_addresses = %s\n[entry]\nlisten = %s\n",
			freePort(t), freePort(t), control, listen))
		c.entries = append(c.entries, "http://"+listen)
	}
	c.waitReady()
	return c
}

// waitReady waits until both entries serve generations through both agents.
func (c *cluster) waitReady() {
	c.t.Helper()
	for i := range c.entries {
		c.eventually("the entries serve", func() bool {
			var wait sync.WaitGroup
			var mu sync.Mutex
			hosts := map[string]bool{}
			for n := range 4 {
				wait.Go(func() {
					// Prompts with different prefixes have no preferred server in common.
					prompt := fmt.Sprintf("%d at %d [tokens=20]", n, time.Now().UnixNano())
					if r := c.generate(i, prompt); r != nil && r.read(0).done {
						mu.Lock()
						hosts[r.host()] = true
						mu.Unlock()
					}
				})
			}
			wait.Wait()
			return len(hosts) == 2
		})
	}
}

// eventually polls a condition and fails the test if it does not become true
// within 30 s.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out waiting until %s", what)
}

// send sends a request to an entry. The headers are pairs of name and value. It
// returns the response with its body open, or nil if there was none.
func (c *cluster) send(entry int, method, path, body string, headers ...string) *http.Response {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	c.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, c.entries[entry]+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer demo-key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	c.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// generate starts a streamed generation. It sets max_tokens to the length that
// the prompt asks for, because requests of unknown length are refused early if
// they would have to queue.
func (c *cluster) generate(entry int, prompt string) *streamReader {
	_, rest, _ := strings.Cut(prompt, "[tokens=")
	bound, _, _ := strings.Cut(rest, "]")
	body := fmt.Sprintf(`{"model":"coach","prompt":%q,"stream":true,"max_tokens":%s}`, prompt, bound)
	return newStreamReader(c.send(entry, "POST", "/v1/completions", body))
}

// postSwap sends a non-repeatable call and returns its status and verdict, and
// the body.
func (c *cluster) postSwap(entry int, query, key string) (string, string) {
	resp := c.send(entry, "POST", "/services/book-desk/swaps"+query, key, "Idempotency-Key", key)
	if resp == nil {
		return "no response", ""
	}
	text, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", resp.Header.Get("X-Arbutusmast-Verdict")), string(text)
}

// streamReader reads the events of a streamed response.
type streamReader struct {
	scanner       *bufio.Scanner
	closer        io.Closer
	tokens        []string
	lastID        string
	done          bool
	errorCodes    string
	errorMessages string
}

func newStreamReader(resp *http.Response) *streamReader {
	if resp == nil {
		return nil
	}
	return &streamReader{scanner: bufio.NewScanner(resp.Body), closer: resp.Body}
}

// read reads until the reader has received limit tokens. If limit is 0, it reads
// the whole stream.
func (r *streamReader) read(limit int) *streamReader {
	for (limit == 0 || len(r.tokens) < limit) && r.scanner.Scan() {
		line := r.scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			r.lastID = id
		}
		data, _ := strings.CutPrefix(line, "data: ")
		var body struct {
			Choices []struct{ Text string }
			Error   struct{ Code, Verdict, Message string }
		}
		if data == "[DONE]" {
			r.done = true
		} else if json.Unmarshal([]byte(data), &body) == nil && len(body.Choices) > 0 && body.Choices[0].Text != "" {
			r.tokens = append(r.tokens, body.Choices[0].Text)
		}
		r.errorCodes += body.Error.Code + body.Error.Verdict
		r.errorMessages += body.Error.Message
	}
	return r
}

// host returns the name of the agent host that runs the generation, which is the
// first part of the event IDs.
func (r *streamReader) host() string {
	host, _, _ := strings.Cut(r.lastID, "~")
	return host
}

// checkTokens verifies that the stream is complete and that its traced tokens are
// of one generation, with each index from first on exactly once and in order.
func (r *streamReader) checkTokens(t *testing.T, first, count int) {
	t.Helper()
	if !r.done || len(r.tokens) != count {
		t.Errorf("done=%t, %d tokens, want %d; errors %q: %s",
			r.done, len(r.tokens), count, r.errorCodes, r.errorMessages)
	}
	generation := ""
	for i, token := range r.tokens {
		g, index, _ := strings.Cut(strings.TrimSpace(token), ":")
		if generation == "" {
			generation = g
		}
		if g != generation || index != fmt.Sprint(first+i) {
			t.Fatalf("token %d is %q, want %s:%d", i, token, generation, first+i)
		}
	}
}

// faultProxy forwards connections to target and can drop their bytes.
type faultProxy struct {
	listener net.Listener
	target   string
	// dropping is shared by the connections accepted since the last dropBytes.
	dropping atomic.Pointer[atomic.Bool]
}

func newFaultProxy(t *testing.T, target string) *faultProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &faultProxy{listener: l, target: target}
	p.dropping.Store(&atomic.Bool{})
	t.Cleanup(func() { _ = l.Close() })
	go p.serve()
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

// dropBytes makes the connections that are open now drop all bytes without
// closing. Later connections are not affected.
func (p *faultProxy) dropBytes() { p.dropping.Swap(&atomic.Bool{}).Store(true) }

func (p *faultProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		dropping := p.dropping.Load()
		go forward(client, server, dropping)
		go forward(server, client, dropping)
	}
}

// forward copies bytes from one connection to another until one of them closes.
// It discards the bytes while dropping is set.
func forward(from, to net.Conn, dropping *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if dropping.Load() && err == nil {
			continue
		}
		if err != nil {
			_ = from.Close()
			if !dropping.Load() {
				_ = to.Close()
			}
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
