package declaration

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// section is one section of one file. keyLines holds the line number of each key.
type section struct {
	name     string
	line     int
	values   map[string]string
	keyLines map[string]int
}

// parseFile returns the sections of one file in order. Lines with a fault are
// omitted, so that the rest of the file is checked too.
func parseFile(f File) ([]section, []Fault) {
	if len(f.Content) > MaxFileBytes {
		return nil, []Fault{{File: f.Name, Reason: fmt.Sprintf("the file is larger than %d bytes", MaxFileBytes)}}
	}
	if !utf8.Valid(f.Content) {
		return nil, []Fault{{File: f.Name, Line: firstInvalidLine(f.Content), Reason: "the text is not UTF-8"}}
	}
	s := &scanner{file: f.Name, sections: map[string]*section{}}
	validContent := s.scan(f.Content)
	parsed, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation: true, KeyValueDelimiters: "=",
	}, validContent)
	if err != nil {
		return nil, append(s.faults, Fault{File: f.Name, Reason: err.Error()})
	}
	var sections []section
	for _, name := range s.order {
		scanned := s.sections[name]
		loaded, err := parsed.GetSection(name)
		if err != nil {
			s.faults = append(s.faults, Fault{File: f.Name, Line: scanned.line, Section: name, Reason: err.Error()})
			continue
		}
		for _, key := range loaded.Keys() {
			// Value, unlike String, does not expand %(name)s.
			scanned.values[key.Name()] = key.Value()
		}
		sections = append(sections, *scanned)
	}
	return sections, s.faults
}

// firstInvalidLine returns the number of the first line that is not valid UTF-8.
func firstInvalidLine(content []byte) int {
	for i, line := range bytes.Split(content, []byte("\n")) {
		if !utf8.Valid(line) {
			return i + 1
		}
	}
	return 0
}

// scanner checks a file line by line, because the INI library stops at the first
// error and silently uses the last value of a repeated key.
type scanner struct {
	file     string
	faults   []Fault
	order    []string // section names in the order of the file
	sections map[string]*section
	current  *section
}

// addFault reports a fault in the current section.
func (s *scanner) addFault(line int, key, format string, args ...any) {
	f := Fault{File: s.file, Line: line, Key: key, Reason: fmt.Sprintf(format, args...)}
	if s.current != nil {
		f.Section = s.current.name
	}
	s.faults = append(s.faults, f)
}

// scan checks all lines and returns the content with empty lines in place of those
// that have a fault or belong to a section whose header has one.
func (s *scanner) scan(content []byte) []byte {
	content = bytes.TrimPrefix(content, []byte("\xef\xbb\xbf"))
	lines := strings.Split(string(content), "\n")
	if last := len(lines) - 1; lines[last] != "" {
		s.addFault(last+1, "", "the last line has no line end, so the file may be incomplete")
	}
	var valid strings.Builder
	skip := false
	for i, line := range lines {
		line = strings.TrimSpace(line)
		ok := s.checkLine(i+1, line)
		if strings.HasPrefix(line, "[") {
			skip = !ok
		}
		if ok && !skip {
			valid.WriteString(line)
		}
		valid.WriteByte('\n')
	}
	return []byte(valid.String())
}

// checkLine reports whether a line is valid. It adds a fault if it is not.
func (s *scanner) checkLine(number int, line string) bool {
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return true
	case strings.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }):
		s.addFault(number, "", "the line has a control character")
		return false
	case line[0] == '[':
		return s.checkHeader(number, line)
	}
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok || !validKey(key):
		s.addFault(number, "", "%q is not of the form key = value", truncate(line))
	case s.current == nil:
		s.addFault(number, key, "the key is outside of any section")
	case s.current.keyLines[key] != 0:
		s.addFault(number, key, "the key was set in line %d already", s.current.keyLines[key])
	case strings.ContainsAny(value, "\"'`"):
		s.addFault(number, key, "quotes are not allowed in values")
	default:
		s.current.keyLines[key] = number
		return true
	}
	return false
}

// checkHeader reports whether a section header is valid, and starts its section.
func (s *scanner) checkHeader(number int, line string) bool {
	s.current = nil
	name := strings.TrimSuffix(strings.TrimPrefix(line, "["), "]")
	fields := strings.Fields(name)
	if !strings.HasSuffix(line, "]") || len(fields) != 2 || strings.ContainsAny(name, "[]\"'`#;=,") {
		s.addFault(number, "", "%q is not of the form [kind name]", truncate(line))
		// Keys up to the next header belong to an unknown section. Their syntax is
		// checked, but they are not merged.
		s.current = &section{name: truncate(line), keyLines: map[string]int{}}
		return false
	}
	name = strings.Join(fields, " ")
	if line != "["+name+"]" {
		s.addFault(number, "", "%q has redundant spaces", truncate(line))
		s.current = &section{name: name, keyLines: map[string]int{}}
		return false
	}
	if s.sections[name] == nil {
		s.sections[name] = &section{
			name: name, line: number, values: map[string]string{}, keyLines: map[string]int{}}
		s.order = append(s.order, name)
	}
	s.current = s.sections[name]
	return true
}

// validKey reports whether a key consists of the letters a to z, digits and
// underscores.
func validKey(key string) bool {
	for _, r := range key {
		if !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '_') {
			return false
		}
	}
	return key != ""
}

// truncate limits the length of a line that is quoted in a fault.
func truncate(line string) string {
	const maxBytes = 60
	if len(line) <= maxBytes {
		return line
	}
	return strings.ToValidUTF8(line[:maxBytes], "") + "..."
}
