package desired

import "strings"

// Table finds the route, service and caller of a request. It does not change.
type Table struct {
	State    *State
	routes   map[string]map[string]*Route
	services map[string]*Service
	callers  map[string]*Caller
}

// NewTable indexes a valid state, which must not be changed afterwards.
func NewTable(s *State) *Table {
	t := &Table{State: s, routes: map[string]map[string]*Route{}, services: map[string]*Service{}, callers: map[string]*Caller{}}
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

// Route returns the route of a host whose prefix is the longest that begins the
// path, nil when there is none. A port of the host is ignored.
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

// Service returns a service by name, nil when it is not declared.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Caller returns the caller that holds a key, nil when nobody does.
func (t *Table) Caller(key string) *Caller {
	if key == "" {
		return nil
	}
	return t.callers[key]
}

// PickService picks a service of a route by weight. Draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	left := draw * float64(total)
	for _, target := range r.Targets {
		left -= float64(target.Weight)
		if target.Weight > 0 && left < 0 {
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
