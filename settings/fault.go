package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one problem of a settings file. Line is zero if the file lacks the
// section to which the problem belongs.
type Fault struct {
	File    string
	Line    int
	Section string
	Key     string
	Problem string
}

// String returns "file:line: [section] key: problem" without the parts that are not
// set.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Problem)
	return b.String()
}

// Faults is the list of all faults of a file, which Load returns as an error.
type Faults []Fault

// Error implements error. It returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// sort sorts the faults by line, section and key.
func (f Faults) sort() {
	sort.SliceStable(f, func(i, j int) bool {
		a, b := f[i], f[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		if a.Section != b.Section {
			return a.Section < b.Section
		}
		return a.Key < b.Key
	})
}
