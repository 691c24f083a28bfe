package declaration

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"arbutusmast.example/arbutusmast/core/contract"
	"github.com/pkg/errors"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// Change is the difference of one key. An added or removed section without keys is
// represented by one Change with an empty key.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Section string     `json:"section"`
	Key     string     `json:"key,omitempty"`
	Old     string     `json:"old,omitempty"`
	New     string     `json:"new,omitempty"`
}

// Diff is the list of differences between two declarations, sorted by section and
// key.
type Diff []Change

// Compare returns the changes that lead from one declaration to another.
func Compare(from, to contract.Sections) Diff {
	d := Diff{}
	for name, keys := range to {
		oldKeys, exists := from[name]
		if !exists && len(keys) == 0 {
			d = append(d, Change{Kind: Added, Section: name})
		}
		for key, value := range keys {
			oldValue, existed := oldKeys[key]
			switch {
			case !existed:
				d = append(d, Change{Added, name, key, "", value})
			case oldValue != value:
				d = append(d, Change{Changed, name, key, oldValue, value})
			}
		}
	}
	for name, keys := range from {
		newKeys, exists := to[name]
		if !exists && len(keys) == 0 {
			d = append(d, Change{Kind: Removed, Section: name})
		}
		for key, value := range keys {
			if _, kept := newKeys[key]; !kept {
				d = append(d, Change{Removed, name, key, value, ""})
			}
		}
	}
	sort.Slice(d, func(i, j int) bool {
		if d[i].Section != d[j].Section {
			return d[i].Section < d[j].Section
		}
		return d[i].Key < d[j].Key
	})
	return d
}

// String returns the diff as text: each section header, followed by its changes
// with a sign as prefix.
func (d Diff) String() string {
	var b strings.Builder
	section := ""
	for i, c := range d {
		if i == 0 || c.Section != section {
			section = c.Section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		switch {
		case c.Key == "":
			fmt.Fprintf(&b, "  %s\n", c.Kind)
		case c.Kind == Added:
			fmt.Fprintf(&b, "  + %s = %s\n", c.Key, c.New)
		case c.Kind == Removed:
			fmt.Fprintf(&b, "  - %s = %s\n", c.Key, c.Old)
		default:
			fmt.Fprintf(&b, "  ~ %s = %s (was %s)\n", c.Key, c.New, c.Old)
		}
	}
	return b.String()
}

// JSON returns the diff as a JSON array.
func (d Diff) JSON() ([]byte, error) {
	b, err := json.Marshal(d)
	return b, errors.Wrap(err, "encode diff")
}

// Format returns the sections as one INI file that Parse accepts.
func Format(sections contract.Sections) []byte {
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "[%s]\n", name)
		keys := make([]string, 0, len(sections[name]))
		for key := range sections[name] {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		for _, key := range keys {
			fmt.Fprintf(&b, "%s = %s\n", key, sections[name][key])
		}
		b.WriteByte('\n')
	}
	return []byte(b.String())
}
