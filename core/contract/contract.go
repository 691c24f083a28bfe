// Package contract holds what operators declare: services, models, callers,
// routes, backend servers and objectives. A Config is built and validated as a
// whole and is not changed afterwards.
package contract

import (
	"strings"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Sections is the merged declaration: section header to keys and values.
type Sections map[string]map[string]string

// Config is one validated configuration. Readers share it without locks.
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

// FailureDomain is a part of a region that fails together.
type FailureDomain struct {
	Name   string
	Region string
}

// Host is a machine that runs daemons.
type Host struct {
	Name          string
	FailureDomain string
}

// ServiceKind tells generations from plain HTTP services.
type ServiceKind string

// Kinds of services.
const (
	KindGeneration ServiceKind = "generation"
	KindPlain      ServiceKind = "plain"
)

// Service is what callers call.
type Service struct {
	Name string
	Kind ServiceKind
	// NonRepeatable lists calls that run at most once, as "METHOD /prefix".
	NonRepeatable []CallPattern
	// Timeout bounds one call of a plain service.
	Timeout time.Duration
}

// CallPattern matches calls by method and path prefix.
type CallPattern struct {
	Method string
	Prefix string
}

// Repeatable tells whether a call may be sent a second time.
func (s Service) Repeatable(method, path string) bool {
	for _, p := range s.NonRepeatable {
		if (p.Method == "*" || p.Method == method) && strings.HasPrefix(path, p.Prefix) {
			return false
		}
	}
	return true
}

// Model is a model that generation services serve.
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
	// Weight is the team's share in fair queueing.
	Weight float64
	// Priority is the base priority; larger is more urgent.
	Priority      int
	MaxConcurrent int
	// RatePerSecond bounds new requests; zero means no limit.
	RatePerSecond float64
	Burst         int
	// TeamClass selects objectives.
	TeamClass string
}

// Route sends requests of some callers to a model, adapter and version.
type Route struct {
	Name    string
	Service string
	// Callers is empty when the route serves all callers.
	Callers []string
	Model   string
	Adapter string
	Version string
	// Weight splits requests among the routes that match.
	Weight   int
	Priority int
	Class    string
}

// BackendState is the declared state of a backend server.
type BackendState string

// States of a backend server. Joining ones get orders but no requests.
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
	// ContinuesGenerations tells that the engine can go on with a generation that
	// another engine of its service began.
	ContinuesGenerations bool
	// MemoryBlocks and BlockTokens give the engine's cache memory.
	MemoryBlocks int
	BlockTokens  int
	MaxBatch     int
}

// ObjectiveKind is what an objective measures.
type ObjectiveKind string

// Kinds of objectives.
const (
	ObjectiveStall         ObjectiveKind = "stall"
	ObjectiveBetweenTokens ObjectiveKind = "between_tokens"
	ObjectiveFirstToken    ObjectiveKind = "first_token"
	ObjectiveWhole         ObjectiveKind = "whole"
	ObjectivePreemptions   ObjectiveKind = "preemptions"
)

// Objective is a share of events that must be good. An event is good when its
// measure is at most Bound; for ObjectiveWhole the answer must be whole and
// for ObjectivePreemptions the count must be at most MaxCount.
type Objective struct {
	Name      string
	Service   string
	TeamClass string
	Kind      ObjectiveKind
	Bound     time.Duration
	MaxCount  int
	// Target is the share of good events, below 1.
	Target float64
}

// CallerByKeyDigest finds the caller whose bearer key has this digest.
func (c *Config) CallerByKeyDigest(digest string) (Caller, bool) {
	name, ok := c.callersByDigest[digest]
	if !ok {
		return Caller{}, false
	}
	return c.Callers[name], true
}

// RoutesFor returns the routes of a service that serve a caller. Routes that
// name the caller win over routes for all callers, so that an experiment for
// one team is one more section.
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

// ServiceForModel returns the service that serves a model name. The name of a
// generation service itself is accepted as well.
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
