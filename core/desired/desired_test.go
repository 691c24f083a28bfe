package desired

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func valid() *State {
	return &State{
		Version:    3,
		Routes:     []Route{{Name: "a", Host: "h.example", Prefix: "/a/", Timeout: time.Second, Targets: []Target{{"s", 1}}}},
		Services:   []Service{{Name: "s"}, {Name: "t"}},
		Callers:    []Caller{{Name: "x", Keys: []string{"k1", "k1"}}, {Name: "y", Keys: []string{"k2"}}},
		HasCallers: true,
	}
}

// TestValidate guards against accepting an invalid state and against rejecting a
// valid one.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*State)
		faults int
	}{
		{"unchanged", func(*State) {}, 0},
		{"unknown service", func(s *State) { s.Routes[0].Targets = []Target{{"none", 1}} }, 1},
		{"weights of 0", func(s *State) { s.Routes[0].Targets = []Target{{"s", 0}, {"t", 0}} }, 1},
		{"one weight of 0", func(s *State) { s.Routes[0].Targets = []Target{{"s", 0}, {"t", 1}} }, 0},
		{"no target", func(s *State) { s.Routes[0].Targets = nil }, 1},
		{"timeout of 0", func(s *State) { s.Routes[0].Timeout = 0 }, 1},
		{"same host and prefix", func(s *State) { s.Routes = append(s.Routes, s.Routes[0]) }, 1},
		{"same prefix of another host", func(s *State) {
			r := s.Routes[0]
			r.Host = "other.example"
			s.Routes = append(s.Routes, r)
		}, 0},
		{"shared key", func(s *State) { s.Callers[1].Keys = []string{"k2", "k1"} }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := valid()
			c.change(s)
			if got := s.Validate(); len(got) != c.faults {
				t.Errorf("faults %q, want %d", got, c.faults)
			}
		})
	}
}

// TestTableRoute guards against a route whose prefix is not the longest match.
func TestTableRoute(t *testing.T) {
	s := valid()
	s.Routes = append(s.Routes, Route{Name: "ab", Host: "H.example", Prefix: "/a/b/"},
		Route{Name: "all", Host: "o.example", Prefix: "/"})
	table := NewTable(s)
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "a"}, {"h.example", "/a/b/x", "ab"}, {"h.example", "/a/b", "a"}, {"h.example:80", "/a/", "a"},
		{"H.EXAMPLE", "/a/", "a"}, {"h.example", "/a", ""}, {"h.example", "/b/", ""}, {"o.example", "/any", "all"},
		{"z.example", "/a/", ""},
	} {
		got := ""
		if r := table.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Route(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestRouteTarget guards against requests to a service with weight 0.
func TestRouteTarget(t *testing.T) {
	r := Route{Targets: []Target{{"a", 0}, {"b", 90}, {"c", 10}, {"d", 0}}}
	count := map[string]int{}
	for i := 0; i < 100; i++ {
		count[r.PickService(float64(i)/100)]++
	}
	if diff := cmp.Diff(map[string]int{"b": 90, "c": 10}, count); diff != "" {
		t.Error(diff)
	}
}

// TestRegisterKeepsTheFirstDocumentOfTheHighestVersion guards against a return to
// a lower version, and against different content under the version in force.
func TestRegisterKeepsTheFirstDocumentOfTheHighestVersion(t *testing.T) {
	var r Register
	for _, step := range []struct {
		version  uint64
		document string
		want     string
	}{
		{4, "four", "four"}, {4, "other four", "four"}, {2, "two", "four"}, {9, "nine", "nine"}, {4, "four", "nine"},
	} {
		if _, err := r.Apply(Command(step.version, []byte(step.document))); err != nil {
			t.Fatal(err)
		}
		if _, document := r.Current(); string(document) != step.want {
			t.Errorf("after version %d: %q in force, want %q", step.version, document, step.want)
		}
	}
	var restored Register
	if err := restored.Restore(r.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if version, document := restored.Current(); version != 9 || string(document) != "nine" {
		t.Errorf("restored version %d %q", version, document)
	}
	if _, err := r.Apply([]byte("short")); err == nil {
		t.Error("a command without a version was accepted")
	}
}

// TestRegisterTakesVersionZero guards against version 0 being ignored because it
// is not higher than the initial value.
func TestRegisterTakesVersionZero(t *testing.T) {
	var r Register
	if _, err := r.Apply(Command(0, []byte("zero"))); err != nil {
		t.Fatal(err)
	}
	if _, document := r.Current(); string(document) != "zero" {
		t.Errorf("document %q", document)
	}
}
