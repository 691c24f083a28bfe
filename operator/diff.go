package operator

import (
	"sort"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
)

// Change is one difference between two configurations. Key is empty if the whole
// section is added or removed.
type Change struct {
	Section string  `json:"section"`
	Key     string  `json:"key,omitempty"`
	Old     *string `json:"old,omitempty"`
	New     *string `json:"new,omitempty"`
	Added   bool    `json:"added,omitempty"`
	Removed bool    `json:"removed,omitempty"`
}

// Diff returns the changes from one configuration to another, sorted by section and
// key.
func Diff(from, to contract.Sections) []Change {
	var changes []Change
	for _, section := range sortedKeys(from, to) {
		oldKeys, inFrom := from[section]
		newKeys, inTo := to[section]
		if inFrom != inTo {
			changes = append(changes, Change{Section: section, Added: inTo, Removed: inFrom})
		}
		if !inTo {
			continue
		}
		for _, key := range sortedKeys(oldKeys, newKeys) {
			before, inOld := oldKeys[key]
			after, inNew := newKeys[key]
			if inOld == inNew && before == after {
				continue
			}
			change := Change{Section: section, Key: key}
			if inOld {
				change.Old = &before
			}
			if inNew {
				change.New = &after
			}
			changes = append(changes, change)
		}
	}
	return changes
}

// sortedKeys returns the keys of both maps in sorted order, each once.
func sortedKeys[V any](a, b map[string]V) []string {
	var keys []string
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (inv *invocation) printChanges(changes []Change) {
	section := ""
	for _, change := range changes {
		if change.Key == "" {
			sign := "+"
			if change.Removed {
				sign = "-"
			}
			inv.printf("%s [%s]\n", sign, change.Section)
			section = change.Section
			continue
		}
		if change.Section != section {
			inv.printf("  [%s]\n", change.Section)
			section = change.Section
		}
		if change.Old != nil {
			inv.printf("-   %s = %s\n", change.Key, *change.Old)
		}
		if change.New != nil {
			inv.printf("+   %s = %s\n", change.Key, *change.New)
		}
	}
}

// configOf returns the complete configuration in the reply to a request that starts
// at revision 0.
func (a *App) configOf(reply message.ConfigReply) (contract.Sections, error) {
	sections := contract.Sections{}
	if len(reply.Snapshot) > 0 {
		decode := a.DecodeSnapshot
		if decode == nil {
			decode = decodeCBOR
		}
		var err error
		if sections, err = decode(reply.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, delta := range reply.Deltas {
		for section, keys := range delta.Set {
			sections[section] = keys
		}
		for _, section := range delta.Removed {
			delete(sections, section)
		}
	}
	return sections, nil
}
