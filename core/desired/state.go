// Package desired holds a desired state that operators publish as one versioned
// document: routes, services, limits and callers. It has no I/O.
//
// It differs from package contract, whose revisions are compared and set: here
// the highest version is in force, and a document that is not newer changes
// nothing.
package desired

import (
	"fmt"
	"time"
)

// RouteKind tells what a request of a route may do.
type RouteKind uint8

// Kinds of routes. The zero value is the most careful one.
const (
	// AtMostOnce requests must not run twice.
	AtMostOnce RouteKind = iota
	// Repeatable requests may run more than once.
	Repeatable
	// Stream requests must not run twice and are answered with events.
	Stream
)

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps requests of one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix  string
	Kind    RouteKind
	Targets []Target
	// Timeout is the longest time a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the response, or to the first event of a stream,
	// within which a response counts in full.
	Objective time.Duration
	// MaxGap is the longest pause between events that is still on time.
	MaxGap time.Duration
	// Priority ranks requests, 0 first.
	Priority int
	// MaxAttempts bounds the backend servers that one request is sent to.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int
	MemoryTokens  int
	BytesPerToken int64
	LinkMbps      float64
	// CanMove tells whether a running request can be copied to another engine.
	CanMove bool
	// CanReserve tells whether memory can be reserved before a request is sent.
	CanReserve bool
	// EventTokens is the number of tokens in one event.
	EventTokens int
	// HandleLife is how long an unused copy is kept.
	HandleLife time.Duration
}

// Service is a set of equal backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Caller is a team with its keys.
type Caller struct {
	Name string
	Keys []string
	// Priority takes precedence over that of routes when HasPriority is set.
	Priority    int
	HasPriority bool
}

// State is one desired state.
type State struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Callers  []Caller
	// HasCallers tells that callers are declared, so that requests need a key.
	HasCallers bool
}

// Validate returns what makes a state unacceptable, nil when nothing does.
func (s *State) Validate() []string {
	var faults []string
	fault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	services := map[string]bool{}
	for _, service := range s.Services {
		services[service.Name] = true
	}
	places := map[string]string{}
	for _, r := range s.Routes {
		place := r.Host + r.Prefix
		if other, taken := places[place]; taken {
			fault("route %q: host and prefix %q are those of route %q", r.Name, place, other)
		}
		places[place] = r.Name
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
