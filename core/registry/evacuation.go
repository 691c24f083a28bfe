package registry

import (
	"maps"
	"slices"
	"strings"

	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/verdict"
)

// evacuate applies an order. Whether the failure domain is known is decided here and not
// by the proposer, so that all members agree on it.
func (r *Registry) evacuate(c *Evacuate) any {
	if known := r.failureDomains(); !known[c.Domain] {
		text := "none is known"
		if len(known) > 0 {
			text = "known are " + strings.Join(slices.Sorted(maps.Keys(known)), ", ")
		}
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "failure domain %.*q is not known; %s",
			failuredomain.MaxNameBytes, c.Domain, text)
	}
	outcome := r.evacuations.Apply(failuredomain.Order{Domain: c.Domain, Evacuate: c.Evacuate, Base: c.Base})
	return message.EvacuateReply{Conflict: outcome.Conflict, Changed: outcome.Changed, Revision: outcome.Revision}
}

// failureDomains returns the failure domains that a declaration or a host names, and the
// evacuated ones, whose evacuation can be ended after their declaration was removed.
func (r *Registry) failureDomains() map[string]bool {
	known := map[string]bool{}
	for name := range r.config.built.FailureDomains {
		known[name] = true
	}
	for _, m := range r.members.Members {
		known[m.FailureDomain] = true
	}
	for _, s := range r.evacuations.List() {
		if s.Evacuated {
			known[s.Domain] = true
		}
	}
	delete(known, "")
	return known
}

// EvacuationStates returns the states of all known failure domains in ascending order.
func (r *Registry) EvacuationStates() []message.EvacuationState {
	states := map[string]message.EvacuationState{}
	for name := range r.failureDomains() {
		states[name] = message.EvacuationState{Domain: name}
	}
	for _, s := range r.evacuations.List() {
		if _, known := states[s.Domain]; known {
			states[s.Domain] = message.EvacuationState{Domain: s.Domain, Evacuated: s.Evacuated, Revision: s.Revision}
		}
	}
	list := make([]message.EvacuationState, 0, len(states))
	for _, name := range slices.Sorted(maps.Keys(states)) {
		list = append(list, states[name])
	}
	return list
}

// EvacuationsSince returns the set of evacuated failure domains, or nil if its revision
// is not above seen.
func (r *Registry) EvacuationsSince(seen uint64) *message.EvacuationSet {
	if r.evacuations.Revision() <= seen {
		return nil
	}
	set := &message.EvacuationSet{Revision: r.evacuations.Revision()}
	for _, s := range r.evacuations.List() {
		if s.Evacuated {
			set.Domains = append(set.Domains, s.Domain)
		}
	}
	return set
}

// EvacuatedDomains returns the number of evacuated failure domains.
func (r *Registry) EvacuatedDomains() int { return r.evacuations.Count() }
