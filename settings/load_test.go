package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

const validSettings = `
[daemon]
host = h1
failure_domain = abdali
roles = entry, control, standin
peer_listen = 127.0.0.1:7100
ops_listen = 127.0.0.1:7101
[entry]
listen = 127.0.0.1:7102
max_body_size = 2MiB ; per request
start_timeout = 250ms
[control]
data_folder = data#1
member_id = 1
members = 1@127.0.0.1:7100, 2@127.0.0.1:7200
[standin e1]
listen = 127.0.0.1:7103
`

// TestLoad guards against values that are read with the wrong unit or from the
// wrong key, and against missing defaults.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "all.ini")
	if err := os.WriteFile(path, []byte(validSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{
		Daemon: Daemon{
			Host: "h1", FailureDomain: "abdali", Roles: []Role{RoleEntry, RoleControl, RoleStandin},
			PeerListen: "127.0.0.1:7100", OpsListen: "127.0.0.1:7101", DrainTimeout: 30 * time.Second,
			LogLevel: "info", ControlAddresses: []string{"127.0.0.1:7100", "127.0.0.1:7200"},
		},
		Entry: Entry{
			Listen: "127.0.0.1:7102", MaxBodyBytes: 2 << 20, StartTimeout: 250 * time.Millisecond,
			RequestTimeout: 30 * time.Minute, LedgerRetention: 24 * time.Hour, MaxStreams: 4096,
		},
		Agent: Agent{ReplayBytes: 64 << 20, MaxQueue: 256, ReplayRetention: time.Minute},
		Control: Control{
			DataFolder: "data#1", MemberID: 1,
			Members: map[uint64]string{1: "127.0.0.1:7100", 2: "127.0.0.1:7200"},
		},
		Standins: []Standin{{
			Name: "e1", Listen: "127.0.0.1:7103", Kind: "generation", TokenInterval: 20 * time.Millisecond,
			MemoryBlocks: 4096, BlockTokens: 16, MaxBatch: 32,
		}},
		Warnings: []string{path +
			": [control] operator_key_sha256: no credential is set, so any local process can change the configuration"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestFaults guards against settings that are accepted although they cannot work or
// do not mean what the operator intended.
func TestFaults(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"unknown section", "[entry]", "[extra]\n[entry]", "all.ini:8: [extra] unknown section"},
		{"default section", "[entry]", "[DEFAULT]\nx = 1\n[entry]", "[DEFAULT] unknown section"},
		{"repeated section", "[standin e1]", "[entry]", "all.ini:16: [entry] the section is already in line 8"},
		{"unknown key", "host = h1", "host = h1\nhots = h2", "all.ini:4: [daemon] hots: unknown key"},
		{"repeated key", "host = h1", "host = h1\nhost = h1", "all.ini:4: [daemon] host: the key is already in line 3"},
		{"key before section", "\n[daemon]", "a = 1\n[daemon]", "all.ini:1: a: the key comes before the first section"},
		{"no value", "host = h1", "host", `the line "host" is neither`},
		{"unclosed header", "[entry]", "[entry", "no closing bracket"},
		{"multi-line value", "host = h1", `host = """h1`, "values over several lines"},
		{"duration without unit", "250ms", "250", `start_timeout: "250" is not a duration`},
		{"duration out of range", "250ms", "2h", `start_timeout: "2h" is not a duration`},
		{"size without unit", "2MiB", "2", `max_body_size: "2" is not a size`},
		{"size overflow", "2MiB", "9223372036854775807GiB", "is not a size"},
		{"host name as address", "127.0.0.1:7100\n", "localhost:7100\n", `peer_listen: "localhost:7100" is not an IP address`},
		{"unspecified member", "2@127.0.0.1:7200", "2@0.0.0.0:7200", "is not an address that can be connected to"},
		{"own id not listed", "member_id = 1", "member_id = 3", "members: the own member 3 is not listed"},
		{"repeated member id", "2@127.0.0.1:7200", "1@127.0.0.1:7200", "member 1 is listed twice"},
		{"repeated member address", "2@127.0.0.1:7200", "2@127.0.0.1:7100", "have the same address"},
		{"unknown role", "roles = entry", "roles = entrance", `"entrance" is not one of`},
		{"entry without listen", "listen = 127.0.0.1:7102", "", "[entry] listen: role entry needs"},
		{"control without folder", "data_folder = data#1", "", "[control] data_folder: role control needs"},
		{"section without role", "control, ", "", "[control] the section has no effect"},
		{"no control addresses", "[control]", "[control]\njoin = true", "control_addresses: the peer addresses"},
		{"role without stand-in", "[standin e1]\nlisten = 127.0.0.1:7103", "", "needs at least one section [standin NAME]"},
		{"invalid stand-in name", "standin e1", "standin e 1", "[standin e 1] unknown section"},
		{"repeated listen address", "127.0.0.1:7103", "127.0.0.1:7102", "[standin e1] listen: [entry] listen already listens"},
		{"cert without key", "[entry]", "[tls]\ncaller_cert = a.pem\n[entry]", "[tls] caller_key: caller_cert is given"},
		{"peer cert without CA", "[entry]", "[tls]\npeer_cert = a\npeer_key = b\n[entry]", "[tls] peer_ca:"},
		{"exposed control member", "peer_listen = 127.0.0.1", "peer_listen = 10.0.0.1", "operator_key_sha256: a control member that is reachable"},
		{"start timeout above request timeout", "250ms", "3s\nrequest_timeout = 2s", "3s is longer than request_timeout"},
		{"empty value", "250ms", "", "start_timeout: the value is empty"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(validSettings, tt.old, tt.new, 1)
			if text == validSettings {
				t.Fatalf("%q does not occur", tt.old)
			}
			_, err := Parse("all.ini", []byte(text))
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("error = %v\nwant %q", err, tt.want)
			}
		})
	}
}

// TestAllFaultsReported guards against a fault that is reported only after another
// one is fixed.
func TestAllFaultsReported(t *testing.T) {
	text := strings.NewReplacer("250ms", "x", "member_id = 1", "member_id = 9", "host = h1", "hots = h1").Replace(validSettings)
	_, err := Parse("all.ini", []byte(text))
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("error = %v", err)
	}
	var got []string
	for _, f := range faults {
		got = append(got, f.Section+" "+f.Key)
	}
	want := []string{"daemon host", "daemon hots", "entry start_timeout", "control members"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestWarnings guards against unsafe settings, such as an unencrypted listener on
// the network, that are accepted without a warning.
func TestWarnings(t *testing.T) {
	const exposed = "listen = 0.0.0.0:7102"
	tests := []struct {
		name  string
		edits []string
		want  string
	}{
		{"entry", []string{"listen = 127.0.0.1:7102", exposed}, "callers' keys"},
		{"entry with TLS", []string{"listen = 127.0.0.1:7102", exposed,
			"[control]", "[tls]\ncaller_cert = a\ncaller_key = b\n[control]"}, ""},
		{"operators", []string{"ops_listen = 127.0.0.1", "ops_listen = 10.1.1.1"}, "metrics and profiles"},
		{"own address", []string{"members = 1@127.0.0.1:7100", "members = 1@127.0.0.1:7109"}, "differs from peer_listen"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := Parse("all.ini", []byte(strings.NewReplacer(tt.edits...).Replace(validSettings)))
			if err != nil {
				t.Fatal(err)
			}
			got := strings.Join(s.Warnings, "\n")
			if !strings.Contains(got, tt.want) || tt.want == "" && len(s.Warnings) != 1 {
				t.Errorf("warnings = %s\nwant %q and the missing credential", got, tt.want)
			}
		})
	}
}

// FuzzParse guards against files that crash the parser, and against accepted
// settings that violate an assumption of the daemons.
func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("[daemon]\nroles = standin\nhost = a\n[standin b]\nlisten = [::1]:80\n")
	f.Add("\ufeff[a\n\"\"\"\n`x\n= 1\n- = 2\n[DEFAULT]\n%(a)s = %(a)s")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f.ini", []byte(text))
		if err != nil {
			return
		}
		if len(s.Daemon.Roles) == 0 || s.Daemon.Host == "" {
			t.Errorf("accepted without roles or host: %+v", s.Daemon)
		}
		if s.Daemon.Has(RoleEntry) && s.Entry.Listen == "" ||
			s.Daemon.Has(RoleControl) && s.Control.DataFolder == "" {
			t.Errorf("accepted a role without its required settings: %+v", s)
		}
	})
}

// TestExamples guards against example files that the daemon rejects, or warns about
// for a reason that the files do not state.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*.ini")
	if err != nil || len(files) < 11 {
		t.Fatalf("%d example files, %v", len(files), err)
	}
	for _, file := range files {
		s, err := Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		var want, got []string
		if s.Daemon.Has(RoleEntry) && !s.Daemon.Has(RoleControl) {
			want = []string{"ops_listen"}
		} else if s.Daemon.Has(RoleControl) && !s.Daemon.Has(RoleEntry) {
			want = []string{"operator_key_sha256"}
		}
		for _, w := range s.Warnings {
			got = append(got, strings.TrimSuffix(strings.Fields(w)[2], ":"))
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: %s", file, diff)
		}
	}
}
