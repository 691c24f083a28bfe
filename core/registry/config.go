package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Bounds of the configuration's history.
const (
	MaxChangeResults = 4096
	MaxDeltas        = 1024
	// MaxFaults bounds the faults in one answer, because answers are kept.
	MaxFaults = 32
	// MaxTextBytes bounds change ids, operators and comments.
	MaxTextBytes = 1024
)

// answer is the outcome of one change id.
type answer struct {
	ChangeID string             `cbor:"1,keyasint"`
	Operator string             `cbor:"2,keyasint"`
	Expected message.Revision   `cbor:"3,keyasint"`
	Reply    message.ApplyReply `cbor:"4,keyasint"`
}

// winner is the change that holds the current revision.
type winner struct {
	Operator string `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	Comment  string `cbor:"3,keyasint"`
}

type configuration struct {
	revision message.Revision
	sections contract.Sections
	winner   winner
	deltas   []message.ConfigDelta
	answers  []*answer
	byID     map[string]*answer
	built    *contract.Config
}

func newConfiguration() configuration {
	return configuration{sections: contract.Sections{}, byID: map[string]*answer{}, built: &contract.Config{}}
}

// changeConfig applies a change and keeps its answer, so that a change that is
// sent again after a lost reply gets the first answer.
func (r *Registry) changeConfig(c *ChangeConfig) any {
	if c.ChangeID == "" || c.Operator == "" || len(c.ChangeID)+len(c.Operator)+len(c.Comment) > MaxTextBytes {
		return message.ApplyReply{Revision: r.config.revision, Faults: []string{fmt.Sprintf(
			"a change needs a change id and an operator, with the comment at most %d bytes", MaxTextBytes)}}
	}
	if first, known := r.config.byID[c.ChangeID]; known {
		return first.resent(c, r.config.revision)
	}
	before := r.config.sections
	reply := r.config.apply(c)
	r.config.keep(&answer{ChangeID: c.ChangeID, Operator: c.Operator, Expected: c.Expected, Reply: reply})
	if reply.Accepted {
		r.clearMarks(before, c.Set)
	}
	return reply
}

func (a *answer) resent(c *ChangeConfig, current message.Revision) message.ApplyReply {
	if a.Operator != c.Operator || a.Expected != c.Expected {
		return message.ApplyReply{Revision: current, Faults: []string{fmt.Sprintf(
			"change id %q belongs to another change by %q on revision %d", a.ChangeID, a.Operator, a.Expected)}}
	}
	reply := a.Reply
	reply.Duplicate = true
	return reply
}

func (c *configuration) apply(change *ChangeConfig) message.ApplyReply {
	if change.Stale || change.Expected != c.revision {
		return message.ApplyReply{
			Revision: c.revision, WinnerOperator: c.winner.Operator,
			WinnerChangeID: c.winner.ChangeID, WinnerComment: c.winner.Comment,
		}
	}
	next := ApplyDelta(c.sections, change.Set, change.Removed)
	built, faults := contract.Update(c.built, c.revision+1, change.Set, change.Removed)
	if len(faults) > 0 {
		return message.ApplyReply{Revision: c.revision, Faults: faultTexts(faults)}
	}
	c.revision++
	c.sections = next
	c.built = built
	c.winner = winner{change.Operator, change.ChangeID, change.Comment}
	c.deltas = append(c.deltas, message.ConfigDelta{Revision: c.revision, Set: change.Set, Removed: change.Removed})
	if len(c.deltas) > MaxDeltas {
		c.deltas = c.deltas[1:]
	}
	return message.ApplyReply{Accepted: true, Revision: c.revision}
}

func faultTexts(faults []contract.Fault) []string {
	texts := make([]string, 0, min(len(faults), MaxFaults)+1)
	for i, f := range faults {
		if i == MaxFaults {
			return append(texts, fmt.Sprintf("and %d further faults", len(faults)-MaxFaults))
		}
		texts = append(texts, f.String())
	}
	return texts
}

func (c *configuration) keep(a *answer) {
	c.answers = append(c.answers, a)
	c.byID[a.ChangeID] = a
	if len(c.answers) > MaxChangeResults {
		delete(c.byID, c.answers[0].ChangeID)
		c.answers = c.answers[1:]
	}
}

// clearMarks removes the leaving marks of hosts and backend servers that a
// change declares again.
func (r *Registry) clearMarks(before contract.Sections, set map[string]map[string]string) {
	for _, section := range slices.Sorted(maps.Keys(set)) {
		if _, declared := before[section]; declared {
			continue
		}
		switch kind, name, _ := strings.Cut(section, " "); kind {
		case "host":
			_ = r.members.SetHostLeaving(name, "", false)
		case "backend-server":
			_ = r.members.SetServerLeaving(name, "", false)
		}
	}
}

// ApplyDelta returns sections with a delta applied. The inner maps are shared and
// must not be changed.
func ApplyDelta(sections contract.Sections, set map[string]map[string]string, removed []string) contract.Sections {
	next := maps.Clone(sections)
	if next == nil {
		next = contract.Sections{}
	}
	for _, name := range removed {
		delete(next, name)
	}
	for name, keys := range set {
		next[name] = keys
	}
	return next
}

// ComputeDelta returns the sections of to that differ from from, and those of from
// that to lacks.
func ComputeDelta(from, to contract.Sections) (set map[string]map[string]string, removed []string) {
	set = map[string]map[string]string{}
	for name, keys := range to {
		if old, ok := from[name]; !ok || !maps.Equal(old, keys) {
			set[name] = keys
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return set, removed
}

// Revision returns the revision of the accepted configuration.
func (r *Registry) Revision() message.Revision { return r.config.revision }

// Sections returns the accepted sections. They must not be changed.
func (r *Registry) Sections() contract.Sections { return r.config.sections }

// Config returns the accepted configuration.
func (r *Registry) Config() *contract.Config { return r.config.built }

// Deltas returns the changes that lead from a revision to the current one. Ok
// is false when they are no longer kept.
func (r *Registry) Deltas(from message.Revision) (deltas []message.ConfigDelta, ok bool) {
	behind := uint64(r.config.revision - from)
	if from > r.config.revision || behind > uint64(len(r.config.deltas)) {
		return nil, false
	}
	return r.config.deltas[uint64(len(r.config.deltas))-behind:], true
}

// EncodeSections returns the form of whole sections in ConfigReply.Snapshot.
func EncodeSections(sections contract.Sections) ([]byte, error) {
	b, err := encoding.Marshal(sections)
	return b, errors.Wrap(err, "encode sections")
}

// DecodeSections reads what EncodeSections wrote.
func DecodeSections(b []byte) (contract.Sections, error) {
	sections := contract.Sections{}
	return sections, errors.Wrap(decoding.Unmarshal(b, &sections), "decode sections")
}
