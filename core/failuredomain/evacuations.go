package failuredomain

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	// MaxNameBytes is the length of the longest failure domain's name in an order.
	MaxNameBytes = 64
	// maxUnlisted is the number of failure domains that orders may name where the settings
	// name none. It bounds the state, because a domain is kept after its evacuation ends.
	maxUnlisted = 64
)

// ErrUnknown is wrapped by the error for a failure domain that orders must not name.
var ErrUnknown = errors.New("unknown failure domain")

// Order asks to begin or end the evacuation of a failure domain. It takes effect only if the
// domain's revision is still Base. Otherwise an order that was delayed until a later one was
// acknowledged would undo that one.
type Order struct {
	Domain   string
	Evacuate bool
	Base     uint64
}

// Outcome is the result of an order.
type Outcome struct {
	// Conflict is set if the order had no effect, because its base is not the domain's revision.
	Conflict bool
	// Changed is set if the evacuation of the domain began or ended.
	Changed bool
	// Revision is the domain's revision afterwards.
	Revision uint64
}

// Status is the state of a failure domain.
type Status struct {
	Domain    string
	Evacuated bool
	// Revision is the number of orders for this domain that took effect, also those that asked for
	// the state that held already.
	Revision uint64
	// Changed is the revision of the set at which the evacuation last began or ended.
	Changed uint64
}

// Evacuations is the replicated set of evacuated failure domains. It is deterministic: equal
// orders in equal sequence give equal sets.
type Evacuations struct {
	// revision counts the changes of the set.
	revision uint64
	domains  map[string]Status
}

// Apply executes an order. An order that asks for the state that holds leaves the set unchanged
// but raises the domain's revision, so that older orders in transit no longer match.
func (e *Evacuations) Apply(o Order) Outcome {
	s := e.domains[o.Domain]
	if s.Revision != o.Base {
		return Outcome{Conflict: true, Revision: s.Revision}
	}
	changed := s.Evacuated != o.Evacuate
	s.Domain, s.Evacuated, s.Revision = o.Domain, o.Evacuate, s.Revision+1
	if changed {
		e.revision++
		s.Changed = e.revision
	}
	if e.domains == nil {
		e.domains = map[string]Status{}
	}
	e.domains[o.Domain] = s
	return Outcome{Changed: changed, Revision: s.Revision}
}

// Revision returns the number of changes of the set.
func (e *Evacuations) Revision() uint64 { return e.revision }

// DomainRevision returns the revision of a failure domain, 0 if no order has named it.
func (e *Evacuations) DomainRevision(domain string) uint64 { return e.domains[domain].Revision }

// IsEmpty reports whether no order has taken effect.
func (e *Evacuations) IsEmpty() bool { return len(e.domains) == 0 }

// Count returns the number of evacuated failure domains.
func (e *Evacuations) Count() int {
	n := 0
	for _, s := range e.domains {
		if s.Evacuated {
			n++
		}
	}
	return n
}

// List returns all failure domains that orders named, sorted by name.
func (e *Evacuations) List() []Status {
	list := make([]Status, 0, len(e.domains))
	for _, s := range e.domains {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.Domain, b.Domain) })
	return list
}

// Check returns an error that wraps ErrUnknown unless orders may name a failure domain. known are
// the failure domains in the settings. Where there are none, any name is accepted while few were
// used.
func (e *Evacuations) Check(domain string, known []string) error {
	if len(known) > 0 {
		if !slices.Contains(known, domain) {
			names := slices.Sorted(slices.Values(known))
			return errors.Wrapf(ErrUnknown, "%.*q is none of %s", MaxNameBytes, domain, strings.Join(names, ", "))
		}
		return nil
	}
	if domain == "" || len(domain) > MaxNameBytes {
		return errors.Wrapf(ErrUnknown, "a name has 1 to %d bytes, this one %d", MaxNameBytes, len(domain))
	}
	if _, used := e.domains[domain]; !used && len(e.domains) >= maxUnlisted {
		return errors.Wrapf(ErrUnknown, "%q, and %d others were named before", domain, maxUnlisted)
	}
	return nil
}

// Encoded orders and sets begin with a header whose top bit is set. A replicated log can hold them
// beside entries that begin with a number below 1<<63.
const (
	headerBytes        = 8
	headerMark  uint64 = 1 << 63
	headerOrder        = headerMark | 1
	headerSet          = headerMark | 2
)

// IsEncoded reports whether data begins with the mark of an encoded order or set.
func IsEncoded(data []byte) bool { return len(data) > 0 && data[0]&0x80 != 0 }

// Encode returns the order as bytes.
func (o Order) Encode() []byte {
	out := binary.BigEndian.AppendUint64(nil, headerOrder)
	out = appendState(out, o.Evacuate)
	out = binary.BigEndian.AppendUint64(out, o.Base)
	return append(out, o.Domain...)
}

// DecodeOrder decodes an order.
func DecodeOrder(data []byte) (Order, error) {
	r := reader{data: data}
	r.expect(headerOrder)
	o := Order{Evacuate: r.state(), Base: r.number()}
	o.Domain = string(r.data)
	return o, errors.Wrap(r.err, "decode an evacuation order")
}

// Encode returns the set as bytes.
func (e *Evacuations) Encode() []byte {
	out := binary.BigEndian.AppendUint64(nil, headerSet)
	out = binary.BigEndian.AppendUint64(out, e.revision)
	list := e.List()
	out = binary.BigEndian.AppendUint64(out, uint64(len(list)))
	for _, s := range list {
		out = binary.BigEndian.AppendUint64(out, uint64(len(s.Domain)))
		out = append(out, s.Domain...)
		out = appendState(out, s.Evacuated)
		out = binary.BigEndian.AppendUint64(out, s.Revision)
		out = binary.BigEndian.AppendUint64(out, s.Changed)
	}
	return out
}

// DecodeEvacuations decodes a set, and returns the bytes that follow it.
func DecodeEvacuations(data []byte) (Evacuations, []byte, error) {
	r := reader{data: data}
	r.expect(headerSet)
	e := Evacuations{revision: r.number(), domains: map[string]Status{}}
	for n := r.number(); n > 0 && r.err == nil; n-- {
		s := Status{Domain: r.text(), Evacuated: r.state(), Revision: r.number(), Changed: r.number()}
		e.domains[s.Domain] = s
	}
	if r.err != nil {
		return Evacuations{}, nil, errors.Wrap(r.err, "decode the set of evacuations")
	}
	return e, r.data, nil
}

func appendState(out []byte, evacuated bool) []byte {
	if evacuated {
		return append(out, 1)
	}
	return append(out, 0)
}

// reader takes values from the front of data. After an error it returns zero values.
type reader struct {
	data []byte
	err  error
}

func (r *reader) take(n uint64) []byte {
	if r.err == nil && n > uint64(len(r.data)) {
		r.err = errors.Errorf("%d bytes are left where %d are expected", len(r.data), n)
	}
	if r.err != nil {
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}

func (r *reader) number() uint64 {
	if b := r.take(headerBytes); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) expect(header uint64) {
	if got := r.number(); r.err == nil && got != header {
		r.err = errors.Errorf("header %x, want %x", got, header)
	}
}

func (r *reader) state() bool {
	b := r.take(1)
	if len(b) == 1 && b[0] > 1 {
		r.err = errors.Errorf("state %d is neither 0 nor 1", b[0])
	}
	return len(b) == 1 && b[0] == 1
}

func (r *reader) text() string { return string(r.take(r.number())) }
