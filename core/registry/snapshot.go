package registry

import (
	"maps"
	"slices"
	"time"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/failuredomain"
	"arbutusmast.example/arbutusmast/core/host"
	"arbutusmast.example/arbutusmast/core/message"
	"arbutusmast.example/arbutusmast/core/quarantine"
	"github.com/pkg/errors"
)

// Versions of the snapshot encoding. A snapshot has formatEvacuations once an order to
// evacuate was applied: programs that know only formatBase refuse it instead of silently
// dropping the evacuations.
const (
	formatBase        = 1
	formatEvacuations = 2
)

// Image is a point-in-time copy of the state. It can be encoded while the registry
// applies further commands.
type Image struct {
	Format        int                   `cbor:"1,keyasint"`
	Index         uint64                `cbor:"2,keyasint"`
	Clock         time.Duration         `cbor:"3,keyasint"`
	Revision      message.Revision      `cbor:"4,keyasint"`
	Sections      contract.Sections     `cbor:"5,keyasint"`
	Winner        winner                `cbor:"6,keyasint"`
	Deltas        []message.ConfigDelta `cbor:"7,keyasint"`
	ChangeResults []*changeResult       `cbor:"8,keyasint"`
	Calls         []*call               `cbor:"9,keyasint"`
	Leases        leases                `cbor:"10,keyasint"`
	Slots         slots                 `cbor:"11,keyasint"`
	Members       *host.Table           `cbor:"12,keyasint"`
	Quarantine    quarantine.Snapshot   `cbor:"13,keyasint"`
	Proposer      uint64                `cbor:"14,keyasint"`
	ProposedAt    time.Duration         `cbor:"15,keyasint"`
	// Evacuations is the encoded set with formatEvacuations, otherwise empty.
	Evacuations []byte `cbor:"16,keyasint,omitempty"`
}

// Snapshot returns the whole state in encoded form. Equal states give equal bytes.
func (r *Registry) Snapshot() ([]byte, error) { return r.Image().Encode() }

// Image returns a copy of the current state. Later commands do not modify it: call
// records, sections, deltas and change results are replaced instead of modified in
// place, and the smaller tables are copied.
func (r *Registry) Image() *Image {
	image := &Image{
		Format: formatBase, Index: r.index, Clock: r.clock, Revision: r.config.revision,
		Sections: r.config.sections, Winner: r.config.winner, Deltas: r.config.deltas, ChangeResults: r.config.results,
		Calls: slices.Clone(r.calls.expiry), Leases: leases{r.leases.Fencing, maps.Clone(r.leases.ByServer)},
		Slots: slots{maps.Clone(r.slots.ByServer)}, Members: r.members.Clone(), Quarantine: r.quarantine.Snapshot(),
		Proposer: r.proposer, ProposedAt: r.proposedAt,
	}
	if !r.evacuations.IsEmpty() {
		image.Format, image.Evacuations = formatEvacuations, r.evacuations.Encode()
	}
	return image
}

// Encode returns the snapshot of the image. It may take seconds for a large ledger.
func (i *Image) Encode() ([]byte, error) {
	// The order of expiry depends only on the records, while the order within the
	// heap depends on the history of insertions and removals.
	slices.SortFunc(i.Calls, func(a, b *call) int {
		if a.expiresBefore(b) {
			return -1
		}
		return 1
	})
	b, err := encoding.Marshal(i)
	return b, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state with a snapshot. If it fails, the state is unchanged.
func (r *Registry) Restore(snapshot []byte) error {
	var i Image
	if err := decoding.Unmarshal(snapshot, &i); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if i.Format != formatBase && i.Format != formatEvacuations || i.Members == nil {
		return errors.Errorf("snapshot has format %d, this program reads %d and %d", i.Format, formatBase,
			formatEvacuations)
	}
	next := New()
	if i.Format == formatEvacuations {
		evacuations, _, err := failuredomain.DecodeEvacuations(i.Evacuations)
		if err != nil {
			return err
		}
		next.evacuations = evacuations
	}
	next.index, next.clock = i.Index, i.Clock
	next.proposer, next.proposedAt = i.Proposer, i.ProposedAt
	if err := next.config.restore(&i); err != nil {
		return err
	}
	for _, c := range i.Calls {
		next.calls.insert(c)
	}
	if i.Leases.ByServer != nil {
		next.leases = i.Leases
	}
	if i.Slots.ByServer != nil {
		next.slots = i.Slots
	}
	i.Members.InitMaps()
	next.members = i.Members
	next.quarantine = quarantine.Restore(i.Quarantine)
	*r = *next
	return nil
}

func (c *configuration) restore(i *Image) error {
	c.revision, c.winner, c.deltas, c.results = i.Revision, i.Winner, i.Deltas, i.ChangeResults
	for _, result := range i.ChangeResults {
		c.byID[result.ChangeID] = result
	}
	if i.Revision == 0 {
		return nil
	}
	c.sections = i.Sections
	built, faults := contract.Build(i.Revision, i.Sections)
	if len(faults) > 0 {
		return errors.Errorf("snapshot has an invalid configuration: %v", faultTexts(faults))
	}
	c.built = built
	return nil
}
