package desired

import "strings"

// Table looks up the route, service and caller of a request. It is immutable.
type Table struct {
	State    *State
	routes   map[string]map[string]*Route
	services map[string]*Service
	callers  map[string]*Caller
}

// NewTable returns an index of a valid state. The state must not be modified
// afterwards.
func NewTable(s *State) *Table {
	t := &Table{
		State: s, routes: map[string]map[string]*Route{}, services: map[string]*Service{},
		callers: map[string]*Caller{},
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routes[host] == nil {
			t.routes[host] = map[string]*Route{}
		}
		t.routes[host][r.Prefix] = r
	}
	for i := range s.Services {
		t.services[s.Services[i].Name] = &s.Services[i]
	}
	for i := range s.Callers {
		for _, key := range s.Callers[i].Keys {
			t.callers[key] = &s.Callers[i]
		}
	}
	return t
}

// Route returns the route of a host with the longest prefix that matches the
// path, or nil if none matches. It ignores a port in host.
func (t *Table) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	prefixes := t.routes[strings.ToLower(host)]
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the service with a name, or nil if it is not declared.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Caller returns the caller with a key, or nil if the key is unknown.
func (t *Table) Caller(key string) *Caller {
	if key == "" {
		return nil
	}
	return t.callers[key]
}

// PickService returns a service of the route, chosen by weight. draw must be
// uniformly distributed in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	remaining := draw * float64(total)
	for _, target := range r.Targets {
		remaining -= float64(target.Weight)
		if target.Weight > 0 && remaining < 0 {
			return target.Service
		}
	}
	for i := len(r.Targets) - 1; i >= 0; i-- {
		if r.Targets[i].Weight > 0 {
			return r.Targets[i].Service
		}
	}
	return ""
}
