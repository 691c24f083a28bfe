// Package desired defines the desired state that operators publish as one
// versioned document: routes, services, limits and callers. It does no I/O.
//
// Package contract changes its configuration by compare-and-set on the revision.
// Here the highest version is in force, and a document that is not newer has no
// effect.
package desired

import (
	"fmt"
	"time"
)

// RouteKind is the execution semantics of a route's requests.
type RouteKind uint8

// Kinds of routes. The zero value is the most restrictive one.
const (
	// AtMostOnce requests must not run twice.
	AtMostOnce RouteKind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests must not run twice and return a stream of events.
	Stream
)

// Target is a service of a route and its weight in the split of requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps requests for one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    RouteKind
	Targets []Target
	// Timeout is the maximum time that a caller waits for the response.
	Timeout time.Duration
	// Objective is the target for the time to the response, or to the first event
	// of a stream. A slower response does not count in full.
	Objective time.Duration
	// MaxGap is the maximum time between two events of a stream that is on time.
	MaxGap time.Duration
	// Priority orders requests. 0 is the highest priority.
	Priority int
	// MaxAttempts limits the number of backend servers that run one request.
	MaxAttempts int
	// Anonymous is set if requests need no key.
	Anonymous bool
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int
	MemoryTokens  int
	BytesPerToken int64
	LinkMbps      float64
	// CanMove is set if a running request can be copied to another engine.
	CanMove bool
	// CanReserve is set if memory can be reserved before a request is sent.
	CanReserve bool
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// HandleLife is the time for which an engine keeps an unused copy.
	HandleLife time.Duration
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// ColdStart is how long a server is cold after its start, and ColdPerSecond the rate of
	// requests from all entries together that a cold server bears, 0 for no bound.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits are the size and time limits of requests.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Caller is a team with its keys.
type Caller struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// State is one version of the desired state.
type State struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Callers  []Caller
	// HasCallers is set if callers are declared. Requests then need a key.
	HasCallers bool
}

// Validate returns the faults that make the state invalid, or nil.
func (s *State) Validate() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	services := map[string]bool{}
	for _, service := range s.Services {
		services[service.Name] = true
	}
	routeNames := map[string]string{}
	for _, r := range s.Routes {
		hostAndPrefix := r.Host + r.Prefix
		if other, taken := routeNames[hostAndPrefix]; taken {
			fault("route %q: host and prefix %q are those of route %q", r.Name, hostAndPrefix, other)
		}
		routeNames[hostAndPrefix] = r.Name
		if r.Timeout <= 0 {
			fault("route %q: timeout is 0", r.Name)
		}
		total := 0
		for _, target := range r.Targets {
			if !services[target.Service] {
				fault("route %q: unknown service %q", r.Name, target.Service)
			}
			if target.Weight < 0 {
				fault("route %q: weight of service %q is negative", r.Name, target.Service)
			}
			total += target.Weight
		}
		if total <= 0 {
			fault("route %q: weights add up to 0", r.Name)
		}
	}
	owners := map[string]string{}
	for _, c := range s.Callers {
		for _, key := range c.Keys {
			if owner, taken := owners[key]; taken && owner != c.Name {
				fault("callers %q and %q share a key", owner, c.Name)
			}
			owners[key] = c.Name
		}
	}
	return faults
}
