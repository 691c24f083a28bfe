package contract

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"arbutusmast.example/arbutusmast/core/message"
)

// Update returns the Config that Build would return after the sections in set
// and removed are applied to those of previous. It parses only these sections
// and shares the maps of all other kinds with previous: with 18,000 callers a full
// Build per change would exceed the memory that a daemon has for its copy.
func Update(previous *Config, revision message.Revision, set Sections, removed []string) (*Config, []Fault) {
	config := *previous
	config.Revision = revision
	b := &builder{config: &config}
	headers := make([]string, 0, len(set))
	for header := range set {
		headers = append(headers, header)
	}
	sort.Strings(headers)
	b.cloneTouched(headers, removed)
	for _, header := range removed {
		b.removeSection(header)
	}
	// All old objects are removed first, so that two callers can swap their keys.
	for _, header := range headers {
		b.removeSection(header)
	}
	for _, header := range headers {
		b.addSection(header, set[header])
	}
	byName := func(a, b string) int { return strings.Compare(a, b) }
	slices.SortFunc(config.Routes, func(x, y Route) int { return byName(x.Name, y.Name) })
	slices.SortFunc(config.Objectives, func(x, y Objective) int { return byName(x.Name, y.Name) })
	b.checkReferences()
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return &config, nil
}

// cloneTouched clones the collections that the sections with these headers
// change, so that the previous Config stays unchanged.
func (b *builder) cloneTouched(headerLists ...[]string) {
	kinds := map[string]bool{}
	for _, list := range headerLists {
		for _, header := range list {
			kind, _, _ := strings.Cut(header, " ")
			kinds[kind] = true
		}
	}
	c := b.config
	c.FailureDomains = cloneIf(c.FailureDomains, kinds["failure-domain"])
	c.Hosts = cloneIf(c.Hosts, kinds["host"])
	c.BackendServers = cloneIf(c.BackendServers, kinds["backend-server"])
	c.Services = cloneIf(c.Services, kinds["service"])
	c.Models = cloneIf(c.Models, kinds["model"])
	c.Callers = cloneIf(c.Callers, kinds["caller"])
	c.callersByDigest = cloneIf(c.callersByDigest, kinds["caller"])
	c.Routes = slices.Clone(c.Routes)
	c.Objectives = slices.Clone(c.Objectives)
}

// cloneIf returns a clone of m if touched is set and m otherwise, but never nil.
func cloneIf[T any](m map[string]T, touched bool) map[string]T {
	switch {
	case m == nil:
		return map[string]T{}
	case touched:
		return maps.Clone(m)
	}
	return m
}

// removeSection removes the object that a section declares, if it exists.
func (b *builder) removeSection(header string) {
	kind, name, _ := strings.Cut(header, " ")
	c := b.config
	switch kind {
	case "failure-domain":
		delete(c.FailureDomains, name)
	case "host":
		delete(c.Hosts, name)
	case "backend-server":
		delete(c.BackendServers, name)
	case "service":
		delete(c.Services, name)
	case "model":
		delete(c.Models, name)
	case "caller":
		if old, known := c.Callers[name]; known {
			delete(c.callersByDigest, old.KeySHA256)
			delete(c.Callers, name)
		}
	case "route":
		c.Routes = slices.DeleteFunc(c.Routes, func(r Route) bool { return r.Name == name })
	case "objective":
		c.Objectives = slices.DeleteFunc(c.Objectives, func(o Objective) bool { return o.Name == name })
	}
}
