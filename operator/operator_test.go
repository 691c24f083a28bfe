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

var inForce = contract.Sections{
	"failure-domain abdali": {"region": "amman"},
	"failure-domain sahab":  {"region": "amman"},
}

// Control is a control member that decides like a registry with one change.
type Control struct {
	mu       sync.Mutex
	follower bool
	lose     int // answers that are lost after the change took effect
	applied  map[string]message.Revision
	revision message.Revision
	group    []message.ControlMember
	voters   int // the size of the group, 2 if zero
	leaving  []string
}

func (s *Control) Status(_ *message.StatusRequest, r *message.StatusReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Member, r.Revision, r.Leading, r.Current, r.Group = 1, s.revision, !s.follower, !s.follower, s.group
	r.Hosts = []message.HostStatus{
		{Member: message.Member{Host: "h1", FailureDomain: "abdali", State: message.MemberLive}, Revision: 3},
		{Member: message.Member{Host: "h2", FailureDomain: "abdali", State: message.MemberDead}, Revision: s.revision},
	}
	return nil
}

func (s *Control) Config(_ *message.ConfigRequest, r *message.ConfigReply) (err error) {
	r.Revision, r.Current = s.revision, true
	r.Snapshot, err = cbor.Marshal(inForce)
	return err
}

func (s *Control) Apply(q *message.ApplyRequest, r *message.ApplyReply) error {
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
		*r = message.ApplyReply{Revision: s.revision, WinnerOperator: "rana", WinnerChangeID: "c9", WinnerComment: "night shift"}
		return nil
	}
	s.revision++
	s.applied[q.ChangeID] = s.revision
	*r = message.ApplyReply{Accepted: true, Revision: s.revision}
	if s.lose > 0 {
		s.lose--
		return verdict.New(verdict.MayHaveRun, verdict.ReasonNoQuorum, "leadership was lost")
	}
	return nil
}

func (s *Control) SetLeaving(q *message.LeavingRequest, _ *message.LeavingReply) error {
	s.leaving = append(s.leaving, q.Host+q.BackendServer)
	return nil
}

func (s *Control) Members(_ *message.MembersRequest, r *message.MembersReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A learner votes once it was seen as a learner, if there is room.
	r.Current, r.Group = true, append([]message.ControlMember{}, s.group...)
	for i := range s.group {
		s.group[i].Voter = i < maxVoters
	}
	return nil
}

func (s *Control) AddMember(q *message.AddMemberRequest, r *message.ChangeMembersReply) error {
	if q.ID == 9 {
		r.Refused = "member 9 was removed before"
		return nil
	}
	s.group = append(s.group, message.ControlMember{ID: q.ID, Address: q.Address})
	r.Group = s.group
	return nil
}

func (s *Control) RemoveMember(q *message.RemoveMemberRequest, r *message.ChangeMembersReply) error {
	for i, m := range s.group {
		if m.ID == q.ID {
			s.group = append(s.group[:i], s.group[i+1:]...)
			break
		}
	}
	r.Group = s.group
	return nil
}

func serveControl(t *testing.T, s *Control) string {
	t.Helper()
	s.revision, s.applied = 4, map[string]message.Revision{"done": 2}
	for id := 1; id <= max(2, s.voters); id++ {
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

// folders holds declarations by folder name.
type folders map[string]contract.Sections

func (f folders) Read(folder string) (contract.Sections, []Fault, error) {
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
		Declarations: folders{
			"same": inForce,
			"more": {"failure-domain abdali": {"region": "amman"}, "failure-domain sahab": {"region": "aqaba"}, "failure-domain jubeiha": {"region": "amman"}},
			"none": {}, "invalid": {"host h1": {"failure_domain": "x"}},
		},
		Measurements: map[string]Measurement{"policy": {"policy table", func(_ context.Context, args []string, out io.Writer, _ bool) error {
			_, err := io.WriteString(out, "ran "+strings.Join(args, " "))
			return err
		}}},
	}, stdout, stderr
}

type commandTest struct {
	name, args string
	control    *Control
	code       int
	want       string
}

// commandTests returns the cases of TestCommands. The flag key names the file
// with the credential.
func commandTests(key string) []commandTest {
	return []commandTest{
		{"help", "help", &Control{}, 0, "Exit codes:"},
		{"command help", "apply -help", &Control{}, 0, "arbutusctl apply -expected 41 config.d"},
		{"unknown command", "aply", &Control{}, 2, `unknown command "aply"`},
		{"unknown flag", "check -x same", &Control{}, 2, "flag provided but not defined: -x"},
		{"valid", "check same", &Control{}, 0, "same is valid: 2 sections"},
		{"flag after argument", "check same -json", &Control{}, 0, `"sections_count": 2`},
		{"faults", "check faulty", &Control{}, 1, "faulty/10.ini:3: [host h1] failure_domain: unknown key"},
		{"faults as JSON", "check -json faulty", &Control{}, 1, `"line": 3`},
		{"invalid reference", "check invalid", &Control{}, 1, `invalid: [host h1] failure_domain: "x" is not declared`},
		{"missing folder", "check nowhere", &Control{}, 1, "not exist"},
		{"diff", "diff more", &Control{}, 0, "revision 4, 3 changes\n+ [failure-domain jubeiha]\n+   region = amman\n  [failure-domain sahab]\n-   region = amman\n+   region = aqaba\n"},
		{"apply", "apply more" + key, &Control{}, 0, "revision 5 accepted"},
		{"apply, answer lost", "apply more" + key, &Control{lose: 1}, 0, "was accepted before, as revision 5"},
		{"apply nothing", "apply same" + key, &Control{}, 0, "nothing to change, revision 4"},
		{"apply again", "apply same -change-id done" + key, &Control{}, 0, "change done was accepted before, as revision 2"},
		{"conflict", "apply more -expected 3" + key, &Control{}, 3, "revision 4 is in force, by change c9 of rana (night shift)"},
		{"wrong folder", "apply none" + key, &Control{}, 1, "removes 2 of 2 sections"},
		{"wrong folder on purpose", "apply none -allow-removals" + key, &Control{}, 0, "- [failure-domain sahab]"},
		{"wrong credential", "apply more -credential-file ../go.mod", &Control{}, 1, "wrong credential"},
		{"no credential", "apply more", &Control{}, 2, "ARBUTUSMAST_OPERATOR_KEY"},
		{"half of TLS", "diff more -peer-cert a.pem", &Control{}, 2, "go together"},
		{"no quorum", "apply more -timeout 300ms" + key, &Control{follower: true}, 4, "does not lead with a quorum"},
		{"status", "status", &Control{}, 0, "abdali: 1 dead, 1 live\n  h1 has revision 3\n  h2 is dead"},
		{"status as JSON", "status -json", &Control{}, 0, `"state": "dead"`},
		{"status without quorum", "status", &Control{follower: true}, 4, "knows no leader"},
		{"drain", "drain h1" + key, &Control{}, 0, "host h1 is leaving"},
		{"drain undone", "drain -undo -backend-server coach-3" + key, &Control{}, 0, "backend server coach-3 is no longer leaving"},
		{"drain without host", "drain" + key, &Control{}, 2, "1 arguments are needed"},
		{"members", "members list", &Control{}, 0, "127.0.0.1:2  voter"},
		{"add", "members add 3 127.0.0.1:3 -json" + key, &Control{}, 0, `"voter": false`},
		{"add refused", "members add 9 127.0.0.1:9" + key, &Control{}, 3, "member 9 was removed before"},
		{"add by name", "members add 3 localhost:3" + key, &Control{}, 2, "not an IP address"},
		{"replace", "members replace 2 3 127.0.0.1:3" + key, &Control{}, 0, "1       127.0.0.1:1  voter  0          0s\n3 "},
		{"replace in a full group", "members replace 2 6 127.0.0.1:6 -wait 2s" + key, &Control{voters: 5}, 0, "6       127.0.0.1:6  voter"},
		{"replace under the same id", "members replace 2 2 127.0.0.1:3" + key, &Control{}, 2, "id of its own"},
		{"measure", "measure policy a -seed 3", &Control{}, 0, "ran a -seed 3"},
		{"measure list", "measure", &Control{}, 0, "policy table"},
		{"version", "version", &Control{}, 0, "arbutusctl"},
	}
}

// TestCommands guards against commands whose exit code or message hides what
// happened to a change.
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

// TestLeaderAmongSilentMembers guards against a tool that gives up because one
// control member is gone or only follows.
func TestLeaderAmongSilentMembers(t *testing.T) {
	gone := httptest.NewServer(nil)
	gone.Close()
	list := []string{gone.Listener.Addr().String(), serveControl(t, &Control{follower: true}), serveControl(t, &Control{})}
	app, stdout, stderr := newTestApp(map[string]string{EnvOperatorKey: credential})
	if code := app.Run(context.Background(), []string{"apply", "-control", strings.Join(list, ","), "more"}); code != ExitOK {
		t.Errorf("exit code %d\n%s%s", code, stdout, stderr)
	}
}

// TestBurn guards against reports that silently lack entries.
func TestBurn(t *testing.T) {
	var list []string
	for _, name := range []string{"entry-1", "entry-2"} {
		c := burnreport.NewCollector(name, nil)
		c.SetObjectives([]contract.Objective{{Name: "complete", Service: "s", Kind: contract.ObjectiveWhole, Target: 0.99}})
		c.Record(burn.Event{Kind: contract.ObjectiveWhole, Service: "s", Times: 50, Failed: name == "entry-2"})
		server := httptest.NewServer(c)
		t.Cleanup(server.Close)
		list = append(list, server.Listener.Addr().String())
	}
	broken := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(broken.Close)
	all, partial := strings.Join(list, ","), list[0]+","+broken.Listener.Addr().String()
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

// streamParts answers with parts that are 60 ms apart.
func streamParts(status int, parts []string) http.HandlerFunc {
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

// TestLoad guards against a generator that counts refusals, broken or
// misnumbered streams as success, misses stalls, or runs past its end.
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
		{"complete", 200, []string{strings.Replace(token, "%", "0", 1), strings.Replace(token, "%", "1", 1) + "data: [DONE]\n\n"}, 0,
			[]string{`"failures_total": {}`, `"misordered_total": 0`}},
		{"misnumbered", 200, []string{strings.Replace(token, "%", "1", 1) + "data: [DONE]\n\n"}, 0, []string{`"misordered_total": `}},
		{"refused", 429, []string{refusal}, 1, []string{`"429 overloaded not_run": 1`}},
		{"ended early", 200, []string{token}, 1, []string{`"stream_ended_early": `}},
		{"error event", 200, []string{token, "event: error\ndata: " + refusal + "\n\n"}, 1, []string{`"stream_error overloaded not_run": 1`}},
		{"silent", 200, []string{"", "", "", "", "", "", "", "", "", ""}, 1, []string{`"cut_off_before_first_token_total": 1`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(streamParts(tt.status, tt.parts))
			t.Cleanup(server.Close)
			app, stdout, stderr := newTestApp(map[string]string{EnvCallerKey: "team"})
			args := []string{"load", "-entry", server.Listener.Addr().String(), "-model", "m", "-duration", "400ms",
				"-concurrency", "1", "-stall-after", "20ms", "-json"}
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
			if longest := stalled.Seconds[len(stalled.Seconds)-1]; tt.name == "complete" && longest < 0.035 || tt.name == "silent" && longest < 0.35 {
				t.Errorf("longest stall %v", longest)
			}
			if (tt.name == "misnumbered") != (result.Misordered > 0 && tt.code == 0) || result.Seconds > 2 {
				t.Errorf("%+v", result)
			}
		})
	}
}

// TestDocumentedCommands guards against documents and examples that show
// commands or flags which do not exist.
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
			if _, err := newCall(app, cmd).parse(args[1:]); err != nil {
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
