package message

import "slices"

// EvacuationSet is the set of evacuated failure domains. Backend servers on hosts of
// these domains get no new requests.
type EvacuationSet struct {
	// Revision increases with each change of the set.
	Revision uint64
	// Domains are the names of the evacuated failure domains in ascending order.
	Domains []string
}

// Contains reports whether a failure domain is evacuated.
func (s EvacuationSet) Contains(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// ContainsAny reports whether any of the failure domains is evacuated.
func (s EvacuationSet) ContainsAny(domains ...string) bool {
	return slices.ContainsFunc(domains, s.Contains)
}

// EvacuateRequest starts or ends the evacuation of a failure domain if the domain's
// revision is still Base. An order that is delayed in transit therefore does not undo a
// later one. An order that requests the state already in effect succeeds as well and
// raises the revision.
type EvacuateRequest struct {
	Header Header
	// Credential is the operators' secret.
	Credential string
	Operator   string
	Domain     string
	Evacuate   bool
	Base       uint64
}

// EvacuateReply is the outcome of an EvacuateRequest that was committed. Conflict is set
// if the revision was no longer Base and the order had no effect, Changed if the
// evacuation began or ended. Revision is the domain's revision after the order.
type EvacuateReply struct {
	Header   Header
	Conflict bool
	Changed  bool
	Revision uint64
}

// EvacuationsRequest requests the state of all known failure domains.
type EvacuationsRequest struct {
	Header Header
}

// EvacuationsReply lists the failure domains that a declaration or a host names and
// those with an evacuation, in ascending order. Current is false if the sender could
// not confirm its state with a quorum.
type EvacuationsReply struct {
	Header  Header
	Current bool
	Domains []EvacuationState
}

// EvacuationState is the state of one failure domain. Revision counts the orders for it
// that had an effect and is the Base of the next order.
type EvacuationState struct {
	Domain    string
	Evacuated bool
	Revision  uint64
}
