package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arbutusmast.example/arbutusmast/burnreport"
	"arbutusmast.example/arbutusmast/core/burn"
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
	"arbutusmast.example/arbutusmast/wire"
	"github.com/fxamacker/cbor/v2"
)

const credential = "operators-secret"

var currentSections = contract.Sections{
	"failure-domain abdali": {"region": "amman"},
	"failure-domain sahab":  {"region": "amman"},
}

// fakeControl is a control member that keeps the changes and members in memory.
type fakeControl struct {
	mu          sync.Mutex
	follower    bool
	lostReplies int // replies still to be lost after the change takes effect
	applied     map[string]message.Revision
	revision    message.Revision
	group       []message.ControlMember
	groupSize   int // number of members, 2 if zero
	leaving     []string
	// losesQuorum is set if the group has no quorum after a member was added.
	losesQuorum bool
	evacuations fakeEvacuations
}

func (s *fakeControl) Status(_ *message.StatusRequest, r *message.StatusReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Member, r.Revision, r.Leading, r.Current, r.Group = 1, s.revision, !s.follower, !s.follower, s.group
	r.Hosts = []message.HostStatus{
		{Member: message.Member{Host: "h1", FailureDomain: "abdali", State: message.MemberLive}, Revision: 3},
		{Member: message.Member{Host: "h2", FailureDomain: "abdali", State: message.MemberDead}, Revision: s.revision},
	}
	return nil
}

func (s *fakeControl) Config(_ *message.ConfigRequest, r *message.ConfigReply) (err error) {
	r.Revision, r.Current = s.revision, true
	r.Snapshot, err = cbor.Marshal(currentSections)
	return err
}

func (s *fakeControl) Apply(q *message.ApplyRequest, r *message.ApplyReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Credential != credential {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "wrong credential")
	}
	if revision, ok := s.applied[q.ChangeID]; ok {
		*r = message.ApplyReply{Accepted: true, Duplicate: true, Revision: revision}
		return nil
	}
	if q.Expected != s.revision {
		*r = message.ApplyReply{
			Revision: s.revision, WinnerOperator: "rana", WinnerChangeID: "c9", WinnerComment: "night shift",
		}
		return nil
	}
	s.revision++
	s.applied[q.ChangeID] = s.revision
	*r = message.ApplyReply{Accepted: true, Revision: s.revision}
	if s.lostReplies > 0 {
		s.lostReplies--
		return verdict.New(verdict.MayHaveRun, verdict.ReasonNoQuorum, "leadership was lost")
	}
	return nil
}

func (s *fakeControl) SetLeaving(q *message.LeavingRequest, _ *message.LeavingReply) error {
	s.leaving = append(s.leaving, q.Host+q.BackendServer)
	return nil
}

func (s *fakeControl) Members(_ *message.MembersRequest, r *message.MembersReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A learner becomes a voter after the first reply that lists it, if the group has
	// fewer than maxVoters voters.
	r.Current, r.Group = !s.losesQuorum || len(s.group) <= 2, append([]message.ControlMember{}, s.group...)
	for i := range s.group {
		s.group[i].Voter = i < maxVoters
	}
	return nil
}

func (s *fakeControl) AddMember(q *message.AddMemberRequest, r *message.ChangeMembersReply) error {
	if q.ID == 9 {
		r.Refused = "member 9 was removed before"
		return nil
	}
	s.group = append(s.group, message.ControlMember{ID: q.ID, Address: q.Address})
	r.Group = s.group
	return nil
}

func (s *fakeControl) RemoveMember(q *message.RemoveMemberRequest, r *message.ChangeMembersReply) error {
	for i, m := range s.group {
		if m.ID == q.ID {
			s.group = append(s.group[:i], s.group[i+1:]...)
			break
		}
	}
	r.Group = s.group
	return nil
}

func serveControl(t *testing.T, s *fakeControl) string {
	t.Helper()
	s.revision, s.applied = 4, map[string]message.Revision{"done": 2}
	for id := 1; id <= max(2, s.groupSize); id++ {
		s.group = append(s.group, message.ControlMember{ID: uint64(id), Address: fmt.Sprint("127.0.0.1:", id), Voter: true})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := wire.NewServer(listener)
	if err := server.Register("Control", s); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

// fakeDeclarations is a DeclarationReader with the sections of each folder in memory.
type fakeDeclarations map[string]contract.Sections

func (f fakeDeclarations) Read(folder string) (contract.Sections, []Fault, error) {
	if folder == "faulty" {
		return nil, []Fault{{"faulty/10.ini", 3, "host h1", "failure_domain", "unknown key"}}, nil
	}
	if _, ok := f[folder]; !ok {
		return nil, nil, os.ErrNotExist
	}
	return f[folder], nil, nil
}

func newTestApp(environment map[string]string) (app *App, stdout, stderr *bytes.Buffer) {
	stdout, stderr = &bytes.Buffer{}, &bytes.Buffer{}
	return &App{
		Stdout: stdout, Stderr: stderr, Getenv: func(name string) string { return environment[name] },
		Declarations: fakeDeclarations{
			"same": currentSections,
			"more": {
				"failure-domain abdali": {"region": "amman"}, "failure-domain sahab": {"region": "aqaba"},
				"failure-domain jubeiha": {"region": "amman"},
			},
			"none": {}, "invalid": {"host h1": {"failure_domain": "x"}},
		},
		Measurements: map[string]Measurement{"policy": {
			"policy table", func(_ context.Context, args []string, out io.Writer, _ bool) error {
				_, err := io.WriteString(out, "ran "+strings.Join(args, " "))
				return err
			},
		}},
	}, stdout, stderr
}

type commandTest struct {
	name, args string
	control    *fakeControl
	code       int
	want       string
}

// commandTests returns the cases of TestCommands. The argument keyFlag is the flag
// with the credential file.
func commandTests(keyFlag string) []commandTest {
	return []commandTest{
		{"help", "help", &fakeControl{}, 0, "Exit codes:"},
		{"command help", "apply -help", &fakeControl{}, 0, "arbutusctl apply -expected 41 config.d"},
		{"unknown command", "aply", &fakeControl{}, 2, `unknown command "aply"`},
		{"unknown flag", "check -x same", &fakeControl{}, 2, "flag provided but not defined: -x"},
		{"valid", "check same", &fakeControl{}, 0, "same is valid: 2 sections"},
		{"flag after argument", "check same -json", &fakeControl{}, 0, `"sections_count": 2`},
		{"faults", "check faulty", &fakeControl{}, 1, "faulty/10.ini:3: [host h1] failure_domain: unknown key"},
		{"faults as JSON", "check -json faulty", &fakeControl{}, 1, `"line": 3`},
		{"invalid reference", "check invalid", &fakeControl{}, 1,
			`invalid: [host h1] failure_domain: "x" is not declared`},
		{"missing folder", "check nowhere", &fakeControl{}, 1, "not exist"},
		{"diff", "diff more", &fakeControl{}, 0,
			"revision 4, 3 changes\n+ [failure-domain jubeiha]\n+   region = amman\n  [failure-domain sahab]\n-   region = amman\n+   region = aqaba\n"},
		{"apply", "apply more" + keyFlag, &fakeControl{}, 0, "revision 5 accepted"},
		{"apply with a lost reply", "apply more" + keyFlag, &fakeControl{lostReplies: 1}, 0,
			"was accepted before, as revision 5"},
		{"apply without changes", "apply same" + keyFlag, &fakeControl{}, 0, "nothing to change, revision 4"},
		{"repeated change id", "apply same -change-id done" + keyFlag, &fakeControl{}, 0,
			"change done was accepted before, as revision 2"},
		{"conflict", "apply more -expected 3" + keyFlag, &fakeControl{}, 3,
			"revision 4 is in force, by change c9 of rana (night shift)"},
		{"wrong folder", "apply none" + keyFlag, &fakeControl{}, 1, "removes 2 of 2 sections"},
		{"wrong folder with allowed removals", "apply none -allow-removals" + keyFlag, &fakeControl{}, 0,
			"- [failure-domain sahab]"},
		{"wrong credential", "apply more -credential-file ../go.mod", &fakeControl{}, 1, "wrong credential"},
		{"no credential", "apply more", &fakeControl{}, 2, "ARBUTUSMAST_OPERATOR_KEY"},
		{"incomplete TLS flags", "diff more -peer-cert a.pem", &fakeControl{}, 2, "go together"},
		{"no quorum", "apply more -timeout 300ms" + keyFlag, &fakeControl{follower: true}, 4,
			"does not lead with a quorum"},
		{"status", "status", &fakeControl{}, 0, "abdali: 1 dead, 1 live\n  h1 has revision 3\n  h2 is dead"},
		{"status as JSON", "status -json", &fakeControl{}, 0, `"state": "dead"`},
		{"status without quorum", "status", &fakeControl{follower: true}, 4, "knows no leader"},
		{"drain", "drain h1" + keyFlag, &fakeControl{}, 0, "host h1 is leaving"},
		{"drain undone", "drain -undo -backend-server coach-3" + keyFlag, &fakeControl{}, 0,
			"backend server coach-3 is no longer leaving"},
		{"drain without host", "drain" + keyFlag, &fakeControl{}, 2, "1 arguments are needed"},
		{"members", "members list", &fakeControl{}, 0, "127.0.0.1:2  voter"},
		{"add", "members add 3 127.0.0.1:3 -json" + keyFlag, &fakeControl{}, 0, `"voter": false`},
		{"add refused", "members add 9 127.0.0.1:9" + keyFlag, &fakeControl{}, 3, "member 9 was removed before"},
		{"add by host name", "members add 3 localhost:3" + keyFlag, &fakeControl{}, 2, "not an IP address"},
		{"replace", "members replace 2 3 127.0.0.1:3" + keyFlag, &fakeControl{}, 0,
			"1       127.0.0.1:1  voter  0          0s\n3 "},
		{"replace in a full group", "members replace 2 6 127.0.0.1:6 -wait 2s" + keyFlag, &fakeControl{groupSize: 5}, 0,
			"6       127.0.0.1:6  voter"},
		{"replace while the quorum is lost", "members replace 2 3 127.0.0.1:3 -wait 300ms" + keyFlag,
			&fakeControl{losesQuorum: true}, 4, "cannot confirm the members with a quorum"},
		{"replace under the same id", "members replace 2 2 127.0.0.1:3" + keyFlag, &fakeControl{}, 2, "id of its own"},
		{"measure", "measure policy a -seed 3", &fakeControl{}, 0, "ran a -seed 3"},
		{"measure list", "measure", &fakeControl{}, 0, "policy table"},
		{"version", "version", &fakeControl{}, 0, "arbutusctl"},
	}
}

// TestCommands guards against exit codes and messages that do not show the outcome
// of a command.
func TestCommands(t *testing.T) {
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(credential+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range commandTests(" -credential-file " + keyFile) {
		t.Run(tt.name, func(t *testing.T) {
			app, stdout, stderr := newTestApp(map[string]string{EnvControl: serveControl(t, tt.control), "USER": "omar"})
			code := app.Run(context.Background(), strings.Fields(tt.args))
			if out := stdout.String() + stderr.String(); code != tt.code || !strings.Contains(out, tt.want) {
				t.Errorf("exit code %d, want %d\n%s\nwant %q", code, tt.code, out, tt.want)
			}
			if out := stdout.String(); strings.Contains(tt.args, "-json") && !json.Valid(stdout.Bytes()) {
				t.Errorf("not JSON: %s", out)
			}
		})
	}
}

// TestLeaderAmongUnavailableMembers guards against a command that fails because one
// control member cannot be reached or is a follower.
func TestLeaderAmongUnavailableMembers(t *testing.T) {
	stopped := httptest.NewServer(nil)
	stopped.Close()
	addresses := []string{
		stopped.Listener.Addr().String(), serveControl(t, &fakeControl{follower: true}), serveControl(t, &fakeControl{}),
	}
	app, stdout, stderr := newTestApp(map[string]string{EnvOperatorKey: credential})
	if code := app.Run(context.Background(), []string{
		"apply", "-control", strings.Join(addresses, ","), "more",
	}); code != ExitOK {
		t.Errorf("exit code %d\n%s%s", code, stdout, stderr)
	}
}

// TestBurn guards against reports that lack an entry without a warning or an exit
// code that shows it.
func TestBurn(t *testing.T) {
	var addresses []string
	for _, name := range []string{"entry-1", "entry-2"} {
		c := burnreport.NewCollector(name, nil)
		c.SetObjectives([]contract.Objective{{Name: "complete", Service: "s", Kind: contract.ObjectiveWhole, Target: 0.99}})
		c.Record(burn.Event{Kind: contract.ObjectiveWhole, Service: "s", Times: 50, Failed: name == "entry-2"})
		server := httptest.NewServer(c)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	all, partial := strings.Join(addresses, ","), addresses[0]+","+broken.Listener.Addr().String()
	tests := []struct {
		args string
		code int
		want string
	}{
		{"-ops " + all, 0, "from entry-1, entry-2"},
		{"-ops " + all + " -json", 0, `"bad_total": 50`},
		{"-ops " + all + " -alert", 6, "PAGE"},
		{"-ops " + partial + " -alert", 5, "the report lacks 1 of 2 entries"},
		{"-ops " + broken.Listener.Addr().String(), 1, "no entry answered"},
		{"-ops " + all + " -format pdf", 2, "snapshot, json, text, html"},
		{"", 2, "-ops is needed"},
	}
	for _, tt := range tests {
		app, stdout, stderr := newTestApp(nil)
		code := app.Run(context.Background(), append([]string{"burn"}, strings.Fields(tt.args)...))
		if out := stdout.String() + stderr.String(); code != tt.code || !strings.Contains(out, tt.want) {
			t.Errorf("%s: exit code %d, want %d\n%s\nwant %q", tt.args, code, tt.code, out, tt.want)
		}
	}
}

// streamHandler returns a handler that writes the parts of its response 60 ms apart.
// It answers requests without the caller's key with status 401.
func streamHandler(status int, parts []string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer team" {
			status = http.StatusUnauthorized
		}
		w.WriteHeader(status)
		for i, part := range parts {
			if i > 0 {
				time.Sleep(60 * time.Millisecond)
			}
			_, _ = io.WriteString(w, part)
			w.(http.Flusher).Flush()
		}
	}
}

// TestLoad guards against a load generator that counts refused requests or broken
// streams as complete, does not report misnumbered events or stalls, or exceeds the
// duration of the run.
func TestLoad(t *testing.T) {
	const refusal = `{"error":{"code":"overloaded","verdict":"not_run","retry_after_ms":5000}}`
	const token = "id: s:%\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n"
	tests := []struct {
		name   string
		status int
		parts  []string
		code   int
		want   []string
	}{
		{"complete", 200,
			[]string{strings.Replace(token, "%", "0", 1), strings.Replace(token, "%", "1", 1) + "data: [DONE]\n\n"}, 0,
			[]string{`"failures_total": {}`, `"misordered_total": 0`}},
		{"misnumbered", 200, []string{strings.Replace(token, "%", "1", 1) + "data: [DONE]\n\n"}, 0,
			[]string{`"misordered_total": `}},
		{"refused", 429, []string{refusal}, 1, []string{`"429 overloaded not_run": 1`}},
		{"ended early", 200, []string{token}, 1, []string{`"stream_ended_early": `}},
		{"error event", 200, []string{token, "event: error\ndata: " + refusal + "\n\n"}, 1,
			[]string{`"stream_error overloaded not_run": 1`}},
		{"silent", 200, []string{"", "", "", "", "", "", "", "", "", ""}, 1, []string{`"cut_off_before_first_token_total": 1`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var arrived atomic.Pointer[time.Time]
			handler := streamHandler(tt.status, tt.parts)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				now := time.Now()
				arrived.CompareAndSwap(nil, &now)
				handler.ServeHTTP(w, r)
			}))
			t.Cleanup(server.Close)
			app, stdout, stderr := newTestApp(map[string]string{EnvCallerKey: "team"})
			const duration, stallAfter = 400 * time.Millisecond, 20 * time.Millisecond
			args := []string{"load", "-entry", server.Listener.Addr().String(), "-model", "m", "-duration", duration.String(),
				"-concurrency", "1", "-stall-after", stallAfter.String(), "-json"}
			began := time.Now()
			if code := app.Run(context.Background(), args); code != tt.code {
				t.Errorf("exit code %d, want %d: %s", code, tt.code, stderr)
			}
			var result loadResult
			if err := json.NewDecoder(bytes.NewReader(stdout.Bytes())).Decode(&result); err != nil {
				t.Fatal(err)
			}
			for _, want := range tt.want {
				if !strings.Contains(stdout.String(), want) {
					t.Errorf("%q is missing in %s", want, stdout)
				}
			}
			stalled := result.Times[2]
			// A silent stream stalls from stallAfter after its request, before it arrives, to the
			// end of the run.
			atLeast := map[string]float64{"complete": 0.035,
				"silent": stallRounding * (duration - stallAfter - arrived.Load().Sub(began)).Seconds()}[tt.name]
			if longest := stalled.Seconds[len(stalled.Seconds)-1]; longest < atLeast {
				t.Errorf("longest stall %v, want at least %v", longest, atLeast)
			}
			if (tt.name == "misnumbered") != (result.Misordered > 0 && tt.code == 0) || result.Seconds > 2 {
				t.Errorf("%+v", result)
			}
		})
	}
}

// stallRounding covers the rounding of recorded times.
const stallRounding = 0.98

// TestDocumentedCommands guards against commands and flags in the documentation and
// in the examples of help texts that do not exist.
func TestDocumentedCommands(t *testing.T) {
	text, err := os.ReadFile("../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(text), "\n")
	for _, cmd := range commands() {
		lines = append(lines, cmd.examples...)
	}
	checked := 0
	for _, line := range lines {
		if !strings.HasPrefix(line, "arbutusctl ") {
			continue
		}
		checked++
		line, _, _ = strings.Cut(line, "    #")
		args := strings.Fields(regexp.MustCompile(`["'][^"']*["']`).ReplaceAllString(line, "text"))[1:]
		app, _, _ := newTestApp(nil)
		known := false
		for _, cmd := range commands() {
			if cmd.name != args[0] {
				continue
			}
			known = true
			if _, err := newInvocation(app, cmd).parse(args[1:]); err != nil {
				t.Errorf("%s: %v", line, err)
			}
		}
		if !known {
			t.Errorf("%s: no such command", line)
		}
	}
	if checked < 20 {
		t.Errorf("only %d commands were found", checked)
	}
}

// TestNameOfFieldThatIsNoToken guards against a response whose head may not be what the entry sent and that counts as a
// report or as a complete stream.
func TestNameOfFieldThatIsNoToken(t *testing.T) {
	c := burnreport.NewCollector("entry-1", nil)
	c.SetObjectives([]contract.Objective{{Name: "complete", Service: "s", Kind: contract.ObjectiveWhole, Target: 0.99}})
	report := httptest.NewRecorder()
	c.ServeHTTP(report, httptest.NewRequest(http.MethodGet, "/burn?format=snapshot", nil))
	for _, line := range []string{"Content-Length : 4", "Transfer-Encoding : chunked", "X Odd: 1"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			body := "id: s:0\ndata: {\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n"
			if r.Method == http.MethodGet {
				body = report.Body.String()
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n"+body)
			_ = conn.Close()
		}))
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		app, stdout, stderr := newTestApp(map[string]string{EnvCallerKey: "team"})
		if code := app.Run(t.Context(), []string{"burn", "-ops", address}); code != ExitFailure {
			t.Errorf("%s: burn: exit code %d\n%s%s", line, code, stdout, stderr)
		}
		app, stdout, stderr = newTestApp(map[string]string{EnvCallerKey: "team"})
		if code := app.Run(t.Context(), []string{"load", "-entry", address, "-model", "m", "-duration", "100ms", "-concurrency", "1",
			"-json"}); code != ExitFailure || !strings.Contains(stdout.String(), `"invalid_response": `) {
			t.Errorf("%s: load: exit code %d\n%s%s", line, code, stdout, stderr)
		}
	}
}
