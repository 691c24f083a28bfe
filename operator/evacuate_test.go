package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// fakeEvacuations are the evacuations of a fakeControl that knows the failure domains
// abdali and sahab.
type fakeEvacuations struct {
	set failuredomain.Evacuations
	// overtaking is the number of orders of another operator that are still to be applied,
	// each just before an order of the test.
	overtaking int
	notCurrent bool
	orders     []failuredomain.Order
}

func (s *fakeControl) Evacuate(q *message.EvacuateRequest, r *message.EvacuateReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := &s.evacuations
	if q.Credential != credential {
		return verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "wrong credential")
	}
	if err := e.set.Check(q.Domain, []string{"abdali", "sahab"}); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "%v", err)
	}
	if e.overtaking > 0 {
		e.overtaking--
		e.set.Apply(failuredomain.Order{Domain: q.Domain, Evacuate: !q.Evacuate, Base: e.set.DomainRevision(q.Domain)})
	}
	order := failuredomain.Order{Domain: q.Domain, Evacuate: q.Evacuate, Base: q.Base}
	e.orders = append(e.orders, order)
	outcome := e.set.Apply(order)
	if s.lostReplies > 0 {
		s.lostReplies--
		return verdict.New(verdict.MayHaveRun, verdict.ReasonNoQuorum, "leadership was lost")
	}
	r.Conflict, r.Changed, r.Revision = outcome.Conflict, outcome.Changed, outcome.Revision
	return nil
}

func (s *fakeControl) Evacuations(_ *message.EvacuationsRequest, r *message.EvacuationsReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Current = !s.evacuations.notCurrent
	states := map[string]failuredomain.Status{}
	for _, state := range s.evacuations.set.List() {
		states[state.Domain] = state
	}
	for _, domain := range []string{"abdali", "sahab"} {
		r.Domains = append(r.Domains, message.EvacuationState{
			Domain: domain, Evacuated: states[domain].Evacuated, Revision: states[domain].Revision})
	}
	return nil
}

// evacuated returns a control member with evacuated failure domains.
func evacuated(domains ...string) *fakeControl {
	s := &fakeControl{}
	for _, domain := range domains {
		s.evacuations.set.Apply(failuredomain.Order{Domain: domain, Evacuate: true})
	}
	return s
}

func evacuateTests(keyFlag string) []commandTest {
	overtaken, endless := evacuated(), evacuated()
	overtaken.evacuations.overtaking, endless.evacuations.overtaking = 2, 1000
	lost, unconfirmed := evacuated(), evacuated()
	lost.lostReplies, unconfirmed.evacuations.notCurrent = 1, true
	return []commandTest{
		{"help", "evacuate -help", evacuated(), 0, "arbutusctl evacuate list -json"},
		{"general help", "help", evacuated(), 0, "evacuate  send no more requests to a failure domain, or undo that"},
		{"start", "evacuate start sahab" + keyFlag, evacuated(), 0,
			"failure domain sahab is evacuated: after a few seconds it gets no new requests"},
		{"start again", "evacuate start sahab" + keyFlag, evacuated("sahab"), 0,
			"failure domain sahab was already evacuated"},
		{"end", "evacuate end sahab" + keyFlag, evacuated("sahab"), 0, "the evacuation of failure domain sahab ended"},
		{"end again", "evacuate end sahab" + keyFlag, evacuated(), 0, "failure domain sahab was not evacuated"},
		{"start as JSON", "evacuate start sahab -json" + keyFlag, evacuated(), 0, `"changed": true`},
		{"unknown domain", "evacuate start east" + keyFlag, evacuated(), 1, `"east" is none of abdali, sahab`},
		{"unknown domain as JSON", "evacuate end east -json" + keyFlag, evacuated(), 1, `"exit_code": 1`},
		{"lost reply", "evacuate start sahab" + keyFlag, lost, 0, "failure domain sahab was already evacuated"},
		{"overtaken", "evacuate start sahab" + keyFlag, overtaken, 0, "failure domain sahab is evacuated"},
		{"overtaken until the end", "evacuate start sahab -timeout 300ms" + keyFlag, endless, 3, "other orders"},
		{"list", "evacuate list", evacuated("sahab"), 0,
			"failure domain  state       revision\nabdali          in service  0\nsahab           evacuated   1\nevacuated: sahab\n"},
		{"empty list", "evacuate list", evacuated(), 0, "no failure domain is evacuated\n"},
		{"list as JSON", "evacuate list -json", evacuated("sahab"), 0, `"evacuated": true`},
		{"list without quorum", "evacuate list -timeout 300ms", unconfirmed, 4, "with a quorum"},
		{"start without quorum", "evacuate start sahab -timeout 300ms" + keyFlag, &fakeControl{follower: true}, 4,
			"does not lead with a quorum"},
		{"no action", "evacuate", evacuated(), 2, "one of start, end, list is needed"},
		{"unknown action", "evacuate stop sahab", evacuated(), 2, `"stop" is not one of start, end, list`},
		{"no domain", "evacuate start" + keyFlag, evacuated(), 2, "1 arguments are needed"},
		{"two domains", "evacuate end abdali sahab" + keyFlag, evacuated(), 2, "1 arguments are needed"},
		{"no credential", "evacuate start sahab", evacuated(), 2, "ARBUTUSMAST_OPERATOR_KEY"},
		{"wrong credential", "evacuate start sahab -credential-file ../go.mod", evacuated(), 1, "wrong credential"},
	}
}

// TestEvacuateCommand guards against exit codes and messages that do not show the outcome
// of an order.
func TestEvacuateCommand(t *testing.T) {
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(credential+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range evacuateTests(" -credential-file " + keyFile) {
		t.Run(tt.name, func(t *testing.T) {
			app, stdout, stderr := newTestApp(map[string]string{EnvControl: serveControl(t, tt.control), "USER": "omar"})
			code := app.Run(context.Background(), strings.Fields(tt.args))
			if out := stdout.String() + stderr.String(); code != tt.code || !strings.Contains(out, tt.want) {
				t.Errorf("exit code %d, want %d\n%s\nwant %q", code, tt.code, out, tt.want)
			}
			if out := stdout.Bytes(); strings.Contains(tt.args, "-json") && !json.Valid(out) {
				t.Errorf("not JSON: %s", out)
			}
		})
	}
}

// TestRejectedOrderHasNoEffect guards against a command that sends an order without the
// revision that it read, which would undo a later order if it is delayed.
func TestRejectedOrderHasNoEffect(t *testing.T) {
	s := evacuated("sahab")
	address := serveControl(t, s)
	run := func(args string) {
		t.Helper()
		app, stdout, stderr := newTestApp(map[string]string{EnvControl: address, EnvOperatorKey: credential})
		if code := app.Run(context.Background(), strings.Fields(args)); code != ExitOK {
			t.Fatalf("%s: exit code %d\n%s%s", args, code, stdout, stderr)
		}
	}
	run("evacuate end sahab")
	run("evacuate start sahab")
	run("evacuate end sahab")
	for i, order := range s.evacuations.orders {
		if order.Base != uint64(i+1) {
			t.Errorf("order %d: %+v", i, order)
		}
		if outcome := s.evacuations.set.Apply(order); !outcome.Conflict {
			t.Errorf("order %d took effect a second time: %+v", i, outcome)
		}
	}
	var out bytes.Buffer
	app, _, _ := newTestApp(map[string]string{EnvControl: address})
	app.Stdout = &out
	if code := app.Run(context.Background(), []string{"evacuate", "list"}); code != ExitOK ||
		!strings.Contains(out.String(), "no failure domain is evacuated") {
		t.Errorf("exit code %d: %s", code, &out)
	}
}
