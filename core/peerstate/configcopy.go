package peerstate

import (
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"github.com/pkg/errors"
)

// maxDeltas limits the deltas kept for other daemons.
const maxDeltas = 64

// configCopy is the configuration in force, together with its encoded sections
// and the deltas that other daemons may fetch.
type configCopy struct {
	config   *contract.Config
	sections registry.EncodedSections
	deltas   []message.ConfigDelta // the most recent ones, up to the revision in force
}

// applyReply advances the copy to the configuration of a reply. After an error
// the copy is unchanged.
func (c *configCopy) applyReply(reply *message.ConfigReply) error {
	if len(reply.Snapshot) > 0 {
		return c.applySnapshot(reply)
	}
	next := *c
	if len(reply.Deltas) > 0 && reply.Deltas[0].Revision == 1 {
		next = configCopy{config: &contract.Config{}, sections: registry.EncodedSections{}}
	}
	revision := next.config.Revision
	for _, d := range reply.Deltas {
		if d.Revision != revision+1 {
			return ErrDeltaGap
		}
		revision = d.Revision
	}
	if revision != reply.Revision {
		return ErrDeltaGap
	}
	set, removed := mergeDeltas(reply.Deltas)
	config, faults := contract.Update(next.config, revision, set, removed)
	if len(faults) > 0 {
		return invalidRevision(revision, faults)
	}
	if err := next.sections.Apply(set, removed); err != nil {
		return err
	}
	next.config = config
	allDeltas := append(append([]message.ConfigDelta(nil), next.deltas...), reply.Deltas...)
	next.deltas = append([]message.ConfigDelta(nil), allDeltas[max(0, len(allDeltas)-maxDeltas):]...)
	*c = next
	return nil
}

// applySnapshot replaces the copy by the complete configuration of a reply.
func (c *configCopy) applySnapshot(reply *message.ConfigReply) error {
	encoded, err := registry.DecodeEncodedSections(reply.Snapshot)
	if err != nil {
		return err
	}
	sections, err := encoded.Sections()
	if err != nil {
		return err
	}
	config, faults := contract.Build(reply.Revision, sections)
	if len(faults) > 0 {
		return invalidRevision(reply.Revision, faults)
	}
	*c = configCopy{config: config, sections: encoded}
	return nil
}

// invalidRevision returns the error for a revision with faults.
func invalidRevision(revision message.Revision, faults []contract.Fault) error {
	return errors.Errorf("revision %d does not pass validation: %s", revision, faults[0])
}

// mergeDeltas combines consecutive deltas into one.
func mergeDeltas(deltas []message.ConfigDelta) (set contract.Sections, removed []string) {
	set = contract.Sections{}
	removedNames := map[string]bool{}
	for _, d := range deltas {
		for _, name := range d.Removed {
			delete(set, name)
			removedNames[name] = true
		}
		for name, keys := range d.Set {
			set[name] = keys
		}
	}
	for name := range removedNames {
		if _, setLater := set[name]; !setLater {
			removed = append(removed, name)
		}
	}
	return set, removed
}
