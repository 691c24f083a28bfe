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
	// MaxChangeResults bounds the change ids whose results are kept, MaxDeltas the
	// deltas that are kept.
	MaxChangeResults = 4096
	MaxDeltas        = 1024
	// MaxFaults bounds the faults in one reply, because replies are kept.
	MaxFaults = 32
	// MaxTextBytes bounds the change id, operator and comment of a change together.
	MaxTextBytes = 1024
)

// changeResult is the reply to the first command with a change id.
type changeResult struct {
	ChangeID string             `cbor:"1,keyasint"`
	Operator string             `cbor:"2,keyasint"`
	Expected message.Revision   `cbor:"3,keyasint"`
	Reply    message.ApplyReply `cbor:"4,keyasint"`
}

// winner is the change that produced the current revision.
type winner struct {
	Operator string `cbor:"1,keyasint"`
	ChangeID string `cbor:"2,keyasint"`
	Comment  string `cbor:"3,keyasint"`
}

// configuration is the accepted configuration with its history.
type configuration struct {
	revision message.Revision
	sections contract.Sections
	winner   winner
	deltas   []message.ConfigDelta
	results  []*changeResult
	byID     map[string]*changeResult
	built    *contract.Config
}

func newConfiguration() configuration {
	return configuration{sections: contract.Sections{}, byID: map[string]*changeResult{}, built: &contract.Config{}}
}

// changeConfig applies a change and keeps the reply, so that a change that is sent
// again after its reply was lost gets the same reply.
func (r *Registry) changeConfig(c *ChangeConfig) any {
	if c.ChangeID == "" || c.Operator == "" || len(c.ChangeID)+len(c.Operator)+len(c.Comment) > MaxTextBytes {
		return message.ApplyReply{Revision: r.config.revision, Faults: []string{fmt.Sprintf(
			"a change needs a change id and an operator, with the comment at most %d bytes", MaxTextBytes)}}
	}
	if first, known := r.config.byID[c.ChangeID]; known {
		return first.replyToRetry(c, r.config.revision)
	}
	before := r.config.sections
	reply := r.config.apply(c)
	r.config.addResult(&changeResult{ChangeID: c.ChangeID, Operator: c.Operator, Expected: c.Expected, Reply: reply})
	if reply.Accepted {
		r.clearLeavingMarks(before, c.Set)
	}
	return reply
}

// replyToRetry returns the reply to a further command with the same change id.
func (r *changeResult) replyToRetry(c *ChangeConfig, current message.Revision) message.ApplyReply {
	if r.Operator != c.Operator || r.Expected != c.Expected {
		return message.ApplyReply{Revision: current, Faults: []string{fmt.Sprintf(
			"change id %q belongs to another change by %q on revision %d", r.ChangeID, r.Operator, r.Expected)}}
	}
	reply := r.Reply
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

// addResult keeps the result of a change and drops the oldest one above
// MaxChangeResults.
func (c *configuration) addResult(result *changeResult) {
	c.results = append(c.results, result)
	c.byID[result.ChangeID] = result
	if len(c.results) > MaxChangeResults {
		delete(c.byID, c.results[0].ChangeID)
		c.results = c.results[1:]
	}
}

// clearLeavingMarks removes the leaving marks of the hosts and backend servers that
// a change adds to the configuration.
func (r *Registry) clearLeavingMarks(before contract.Sections, set map[string]map[string]string) {
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

// ApplyDelta returns a copy of sections with a delta applied. The inner maps are
// shared and must not be modified.
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

// ComputeDelta returns the sections of to that are new or different in comparison
// with from, and the names of the sections of from that to lacks.
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

// Sections returns the sections of the accepted configuration. They must not be
// modified.
func (r *Registry) Sections() contract.Sections { return r.config.sections }

// Config returns the accepted configuration in validated form.
func (r *Registry) Config() *contract.Config { return r.config.built }

// Deltas returns the changes from a revision to the current one. Ok is false if they
// are no longer kept, or if the revision is above the current one.
func (r *Registry) Deltas(from message.Revision) (deltas []message.ConfigDelta, ok bool) {
	behind := uint64(r.config.revision - from)
	if from > r.config.revision || behind > uint64(len(r.config.deltas)) {
		return nil, false
	}
	return r.config.deltas[uint64(len(r.config.deltas))-behind:], true
}

// EncodeSections encodes the sections of a whole configuration for
// ConfigReply.Snapshot.
func EncodeSections(sections contract.Sections) ([]byte, error) {
	b, err := encoding.Marshal(sections)
	return b, errors.Wrap(err, "encode sections")
}

// DecodeSections decodes the output of EncodeSections.
func DecodeSections(b []byte) (contract.Sections, error) {
	sections := contract.Sections{}
	return sections, errors.Wrap(decoding.Unmarshal(b, &sections), "decode sections")
}
