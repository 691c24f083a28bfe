package declaration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const base = "[failure-domain d]\nregion = r\n[host h]\nfailure_domain = d\n[service s]\nkind = plain\ntimeout = 5s\n"

// parse parses texts as files with ascending names. It returns the faults as text.
func parse(texts ...string) (*Declaration, string) {
	var files []File
	for i, text := range texts {
		files = append(files, File{string(rune('a'+i)) + ".ini", []byte(text)})
	}
	d, err := Parse(files)
	if err != nil {
		return nil, err.Error()
	}
	return d, ""
}

// TestMerge guards against a file that changes other keys than those it contains.
func TestMerge(t *testing.T) {
	tests := map[string]struct {
		later []string
		want  map[string]string
	}{
		"one key overridden": {[]string{"[service s]\ntimeout = 9s\n"},
			map[string]string{"kind": "plain", "timeout": "9s"}},
		"last file takes precedence": {[]string{"[service s]\ntimeout = 9s\n", "[service s]\ntimeout = 1s\n"},
			map[string]string{"kind": "plain", "timeout": "1s"}},
		"removed": {[]string{"[service s]\nremove = true\n"}, nil},
		"removed and set again": {[]string{"[service s]\nremove = true\nkind = plain\n"},
			map[string]string{"kind": "plain"}},
		"removed, then declared": {[]string{"[service s]\nremove = true\n", "[service s]\ntimeout = 2s\n"},
			map[string]string{"timeout": "2s"}},
		"comments and spaces": {[]string{"\xef\xbb\xbf; c\n# c\r\n[service s]\r\n\t timeout=3s # why\r\n"},
			map[string]string{"kind": "plain", "timeout": "3s"}},
		"split section": {[]string{"[service s]\nkind = generation\n[host h]\n[service s]\ntimeout = 4s\n"},
			map[string]string{"kind": "generation", "timeout": "4s"}},
	}
	for name, test := range tests {
		d, fault := parse(append([]string{base}, test.later...)...)
		if fault != "" {
			t.Errorf("%s: %s", name, fault)
			continue
		}
		if diff := cmp.Diff(test.want, d.Sections["service s"]); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

// TestFaults guards against a fault that hides another one, or that is reported
// without its position.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		later string
		want  []string
	}{
		"incomplete lines": {"[service s]\ntimeo\n[host\nfailure_domain = d\n[service t]\nkind =",
			[]string{"b.ini:6: the last line", `b.ini:2: [service s]: "timeo" is not`, `b.ini:3: "[host" is not`,
				"b.ini:6: [service t] kind: \"\" is not one of"}},
		"duplicate and unknown keys": {"[service s]\ntimeout = 1s\ntimeout = 2s\nretries = 3\n[lake x]\n",
			[]string{"b.ini:3: [service s] timeout: the key was set in line 2",
				"b.ini:4: [service s] retries: unknown key", "b.ini:5: [lake x]: unknown kind"}},
		"key outside of a section": {"kind = plain\n", []string{"b.ini:1 kind: the key is outside of any"}},
		"undeclared reference": {"[host x]\nfailure_domain = none\n",
			[]string{`b.ini:2: [host x] failure_domain: "none" is not declared`}},
		"missing key": {"[host x]\n", []string{"b.ini:1: [host x] failure_domain: a value is required"}},
		"key of the earlier file": {"[failure-domain d]\nremove = true\n",
			[]string{`a.ini:4: [host h] failure_domain: "d" is not declared`}},
		"not UTF-8": {"[service s]\ntimeout = \xff\n", []string{"b.ini:2: the text is not UTF-8"}},
		"too large": {strings.Repeat("#\n", MaxFileBytes/2) + "\n", []string{"b.ini: the file is larger"}},
		"invalid removal": {"[host x]\nremove = true\n[host h]\nremove = yes\n",
			[]string{"b.ini:2: [host x] remove: no earlier", "b.ini:4: [host h] remove: \"yes\""}},
		"control character": {"[service s]\ntimeout = 1\x00s\n", []string{"b.ini:2: [service s]: the line has a control"}},
		"quotes":            {"[service s]\ntimeout = `1s\n", []string{"b.ini:2: [service s] timeout: quotes"}},
	}
	for name, test := range tests {
		_, fault := parse(base, test.later)
		for _, want := range test.want {
			if !strings.Contains(fault, want) {
				t.Errorf("%s: %q is missing in:\n%s", name, want, fault)
			}
		}
	}
}

// TestExamples guards against example folders that are invalid, and against an
// experiment that still has an effect after its file is removed.
func TestExamples(t *testing.T) {
	tests := map[string]struct {
		experiment, service, caller, before, after string
		domains, servers                           int
	}{
		"lakeshore": {"90-experiment-coach-v7.ini", "coach-llm", "race-club", "v6", "v7", 4, 20},
		"qasr":      {"90-experiment-drafting-r4.ini", "drafting-llm", "pharma", "r3", "r4", 3, 18},
	}
	for name, test := range tests {
		folder := t.TempDir()
		if err := os.CopyFS(folder, os.DirFS(filepath.Join("..", "examples", name, "config.d"))); err != nil {
			t.Fatal(err)
		}
		readExpecting := func(version string) *Declaration {
			d, err := ReadFolder(folder)
			if err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if r := d.Config.RoutesFor(test.service, test.caller); len(r) != 1 || r[0].Version != version {
				t.Errorf("%s: routes of %s: %+v, want version %s", name, test.caller, r, version)
			}
			return d
		}
		with := readExpecting(test.after)
		if len(with.Config.FailureDomains) != test.domains || len(with.Config.BackendServers) != test.servers {
			t.Errorf("%s: %d failure domains, %d servers", name, len(with.Config.FailureDomains), len(with.Config.BackendServers))
		}
		if err := os.Remove(filepath.Join(folder, test.experiment)); err != nil {
			t.Fatal(err)
		}
		without := readExpecting(test.before)
		changes := Compare(without.Sections, with.Sections)
		for _, c := range changes {
			if c.Kind == Removed || with.Origin(c.Section, c.Key) != test.experiment {
				t.Errorf("%s: the experiment changes %s %s", name, c.Section, c.Key)
			}
		}
		if len(changes) == 0 {
			t.Errorf("%s: the experiment changes nothing", name)
		}
	}
}

// TestCompare guards against a change that is missing from the diff.
func TestCompare(t *testing.T) {
	from, _ := parse(base + "[service old]\n[service gone]\nkind = plain\n")
	to, _ := parse(base + "[service new]\nkind = plain\n[service old]\ntimeout = 1s\n")
	to.Sections["service s"]["timeout"] = "9s"
	d := Compare(from.Sections, to.Sections)
	want := "[service gone]\n  - kind = plain\n[service new]\n  + kind = plain\n[service old]\n  + timeout = 1s\n" +
		"[service s]\n  ~ timeout = 9s (was 5s)\n"
	if diff := cmp.Diff(want, d.String()); diff != "" {
		t.Error(diff)
	}
	if b, err := d[3:].JSON(); err != nil ||
		string(b) != `[{"kind":"changed","section":"service s","key":"timeout","old":"5s","new":"9s"}]` {
		t.Errorf("%s %v", b, err)
	}
}

// FuzzParse guards against a panic, and against an accepted file whose meaning
// changes when Format writes it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	f.Add([]byte("[host h]\nfailure_domain = \"\"\"d\n[service s]\nnon_repeatable = POST /a, * /b\n"))
	f.Add([]byte("[service s]\ntimeout = 5s \\\n# x\n=\n[a]\n[[b c]]\nkey = `"))
	f.Fuzz(func(t *testing.T, content []byte) {
		sections, faults := parseFile(File{"a.ini", content})
		if len(faults) > 0 {
			return
		}
		merged := map[string]map[string]string{}
		for _, s := range sections {
			merged[s.name] = s.values
			if len(s.values) != len(s.keyLines) {
				t.Fatalf("[%s] has keys %v, lines %v", s.name, s.values, s.keyLines)
			}
		}
		reparsed, faults := parseFile(File{"a.ini", Format(merged)})
		if len(faults) > 0 || len(reparsed) != len(merged) {
			t.Fatalf("%v: %d sections, want %d", faults, len(reparsed), len(merged))
		}
		for _, s := range reparsed {
			if diff := cmp.Diff(merged[s.name], s.values); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
