package peerstate

import (
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/registry"
	"github.com/pkg/errors"
)

// maxDeltas bounds the changes kept for other daemons.
const maxDeltas = 64

// image is the configuration in force together with what other daemons need.
type image struct {
	config   *contract.Config
	sections registry.Encoded
	deltas   []message.ConfigDelta // the last ones, up to the revision
}

// advance puts the configuration of a reply in force. After an error the image
// is unchanged.
func (i *image) advance(reply *message.ConfigReply) error {
	if len(reply.Snapshot) > 0 {
		return i.replace(reply)
	}
	next := *i
	if len(reply.Deltas) > 0 && reply.Deltas[0].Revision == 1 {
		next = image{config: &contract.Config{}, sections: registry.Encoded{}}
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
	set, removed := combine(reply.Deltas)
	config, faults := contract.Update(next.config, revision, set, removed)
	if len(faults) > 0 {
		return invalid(revision, faults)
	}
	if err := next.sections.Apply(set, removed); err != nil {
		return err
	}
	next.config = config
	joined := append(append([]message.ConfigDelta(nil), next.deltas...), reply.Deltas...)
	next.deltas = append([]message.ConfigDelta(nil), joined[max(0, len(joined)-maxDeltas):]...)
	*i = next
	return nil
}

// replace puts a whole configuration in force.
func (i *image) replace(reply *message.ConfigReply) error {
	encoded, err := registry.DecodeEncoded(reply.Snapshot)
	if err != nil {
		return err
	}
	sections, err := encoded.Sections()
	if err != nil {
		return err
	}
	config, faults := contract.Build(reply.Revision, sections)
	if len(faults) > 0 {
		return invalid(reply.Revision, faults)
	}
	*i = image{config: config, sections: encoded}
	return nil
}

func invalid(revision message.Revision, faults []contract.Fault) error {
	return errors.Errorf("revision %d is not valid here: %s", revision, faults[0])
}

// combine returns what several changes amount to.
func combine(deltas []message.ConfigDelta) (set contract.Sections, removed []string) {
	set = contract.Sections{}
	gone := map[string]bool{}
	for _, d := range deltas {
		for _, name := range d.Removed {
			delete(set, name)
			gone[name] = true
		}
		for name, keys := range d.Set {
			set[name] = keys
		}
	}
	for name := range gone {
		if _, again := set[name]; !again {
			removed = append(removed, name)
		}
	}
	return set, removed
}
