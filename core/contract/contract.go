// Package contract defines the configuration that operators declare: services,
// models, callers, routes, backend servers and objectives. A Config is built and
// validated as a whole and is immutable afterwards.
package contract

import (
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Sections is the merged declaration. It maps section headers to keys and values.
type Sections map[string]map[string]string

// Config is one validated, immutable configuration. It is safe for concurrent
// reads without locks.
type Config struct {
	Revision       message.Revision
	FailureDomains map[string]FailureDomain
	Hosts          map[string]Host
	BackendServers map[string]BackendServer
	Services       map[string]Service
	Models         map[string]Model
	Callers        map[string]Caller
	Routes         []Route
	Objectives     []Objective

	callersByDigest map[string]string
}

// FailureDomain is a part of a region whose hosts may fail together.
type FailureDomain struct {
	Name   string
	Region string
}

// Host is a machine that runs daemons.
type Host struct {
	Name          string
	FailureDomain string
}

// ServiceKind distinguishes generation services from plain HTTP services.
type ServiceKind string

// Kinds of services.
const (
	KindGeneration ServiceKind = "generation"
	KindPlain      ServiceKind = "plain"
)

// Service is a set of backend servers that callers address by one name.
type Service struct {
	Name string
	Kind ServiceKind
	// NonRepeatable lists the calls that must run at most once. They are declared
	// as "METHOD /prefix".
	NonRepeatable []CallPattern
	// Timeout limits the duration of one call of a plain service.
	Timeout time.Duration
}

// CallPattern matches calls by HTTP method and path prefix. The method "*"
// matches any method.
type CallPattern struct {
	Method string
	Prefix string
}

// Repeatable reports whether a call may be sent more than once.
func (s Service) Repeatable(method, path string) bool {
	for _, p := range s.NonRepeatable {
		if (p.Method == "*" || p.Method == method) && strings.HasPrefix(path, p.Prefix) {
			return false
		}
	}
	return true
}

// Model is a model that a generation service serves.
type Model struct {
	Name     string
	Service  string
	Versions []string
	Adapters []string
}

// Caller is a team that sends requests.
type Caller struct {
	Name      string
	KeySHA256 string
	// Weight is the share of the team in fair queueing.
	Weight float64
	// Priority is the base priority. A larger value is more urgent.
	Priority      int
	MaxConcurrent int
	// RatePerSecond limits new requests per second. Zero means no limit.
	RatePerSecond float64
	Burst         int
	// TeamClass selects the objectives that apply to the team.
	TeamClass string
}

// Route maps requests of some or all callers to a model, adapter and version.
type Route struct {
	Name    string
	Service string
	// Callers is empty if the route serves all callers.
	Callers []string
	Model   string
	Adapter string
	Version string
	// Weight is the share of the route among all matching routes.
	Weight   int
	Priority int
	Class    string
}

// BackendState is the declared state of a backend server.
type BackendState string

// States of a backend server. A joining server receives orders but no requests.
const (
	BackendJoining BackendState = "joining"
	BackendServing BackendState = "serving"
	BackendLeaving BackendState = "leaving"
)

// BackendServer is one replica of a service on a host.
type BackendServer struct {
	Name          string
	Host          string
	Service       string
	Address       string
	State         BackendState
	ChecksFencing bool
	// ContinuesGenerations is set if the engine can continue a generation that
	// another engine of the service started.
	ContinuesGenerations bool
	// MemoryBlocks and BlockTokens are the size of the engine's cache in blocks and
	// the tokens per block.
	MemoryBlocks int
	BlockTokens  int
	MaxBatch     int
}

// ObjectiveKind is the measure of an objective.
type ObjectiveKind string

// Kinds of objectives.
const (
	ObjectiveStall         ObjectiveKind = "stall"
	ObjectiveBetweenTokens ObjectiveKind = "between_tokens"
	ObjectiveFirstToken    ObjectiveKind = "first_token"
	ObjectiveWhole         ObjectiveKind = "whole"
	ObjectivePreemptions   ObjectiveKind = "preemptions"
)

// Objective is a service level objective: the share of events that must be good.
// An event is good if its measure is at most Bound. For ObjectiveWhole the
// response must be complete, for ObjectivePreemptions the count must be at most
// MaxCount.
type Objective struct {
	Name      string
	Service   string
	TeamClass string
	Kind      ObjectiveKind
	Bound     time.Duration
	MaxCount  int
	// Target is the required share of good events, below 1.
	Target float64
}

// CallerByKeyDigest returns the caller whose bearer key has this SHA-256 digest.
func (c *Config) CallerByKeyDigest(digest string) (Caller, bool) {
	name, ok := c.callersByDigest[digest]
	if !ok {
		return Caller{}, false
	}
	return c.Callers[name], true
}

// RoutesFor returns the routes of a service that apply to a caller. Routes that
// name the caller take precedence over routes for all callers, so that an
// experiment for one team needs only one more section.
func (c *Config) RoutesFor(service, caller string) []Route {
	var named, general []Route
	for _, r := range c.Routes {
		if r.Service != service || r.Weight == 0 {
			continue
		}
		if len(r.Callers) == 0 {
			general = append(general, r)
			continue
		}
		for _, name := range r.Callers {
			if name == caller {
				named = append(named, r)
				break
			}
		}
	}
	if len(named) > 0 {
		return named
	}
	return general
}

// ServiceForModel returns the service that serves a model. It also accepts the
// name of a generation service.
func (c *Config) ServiceForModel(model string) (Service, bool) {
	if s, ok := c.Services[model]; ok && s.Kind == KindGeneration {
		return s, true
	}
	m, ok := c.Models[model]
	if !ok {
		return Service{}, false
	}
	s, ok := c.Services[m.Service]
	return s, ok
}
