package quarantine

import (
	"sort"
	"time"

	"arbutusmast.example/arbutusmast/core/message"
)

// Sequence returns the sequence number of the last change.
func (t *Table) Sequence() uint64 { return t.sequence }

// Since returns at most limit changes after a sequence number, and the sequence
// number that they lead to. A change with a zero For clears its digest. If reset
// is set, the receiver has to start from an empty table, because clearings that
// it has not received are no longer kept.
func (t *Table) Since(
	now time.Duration, sequence uint64, limit int,
) (changes []message.Quarantine, upTo uint64, reset bool) {
	if sequence == t.sequence {
		return nil, sequence, false
	}
	if sequence > t.sequence || sequence < t.watermark {
		sequence, reset = 0, true
	}
	type change struct {
		sequence uint64
		message.Quarantine
	}
	var all []change
	for _, e := range t.entries {
		entry := e.Value.(*Entry)
		if entry.Sequence > sequence && entry.Expires > now {
			all = append(all, change{entry.Sequence, entry.toMessage(now)})
		}
	}
	for _, c := range t.cleared {
		if _, suspectedAgain := t.entries[c.Digest]; !suspectedAgain && c.Sequence > sequence && !reset {
			all = append(all, change{c.Sequence, message.Quarantine{Digest: c.Digest}})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sequence < all[j].sequence })
	upTo = t.sequence
	// A reset ignores the limit: a truncated one could end below the watermark,
	// which would cause another reset.
	if len(all) > limit && !reset {
		all = all[:limit]
		upTo = all[limit-1].sequence
	}
	for _, c := range all {
		changes = append(changes, c.Quarantine)
	}
	return changes, upTo, reset
}
