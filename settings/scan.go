package settings

import (
	"strings"
	"unicode/utf8"
)

// keyPath identifies a key of a section, or the section itself if key is empty.
type keyPath struct{ section, key string }

// scan records the line of each section and key. It also reports errors that the
// INI library accepts silently: repeated sections and keys, values over several
// lines, and keys before the first section.
func (p *parser) scan(text string) {
	section := ""
	for i, line := range strings.Split(strings.TrimPrefix(text, "\ufeff"), "\n") {
		number := i + 1
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case !utf8.ValidString(line):
			p.faultAt(number, section, "", "the line is not valid UTF-8")
		case line[0] == '[':
			end := strings.LastIndexByte(line, ']')
			if end < 0 {
				p.faultAt(number, "", "", "the section header has no closing bracket")
				continue
			}
			section = line[1:end]
			p.recordLine(number, keyPath{section, ""}, "section")
		default:
			p.scanKey(number, section, line)
		}
	}
}

// scanKey checks a line with a key and records it.
func (p *parser) scanKey(number int, section, line string) {
	key, value, ok := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !ok:
		p.faultAt(number, section, "",
			"the line %q is neither a section, a key with a value, nor a comment", truncate(line))
	case section == "":
		p.faultAt(number, "", key, "the key comes before the first section")
	case !validKey(key):
		p.faultAt(number, section, truncate(key), "a key must consist of the letters a to z, digits and underscores")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		p.faultAt(number, section, key, "values over several lines are not supported")
	default:
		p.recordLine(number, keyPath{section, key}, "key")
	}
}

// recordLine records the line of a section or key and reports a repetition. kind is
// "section" or "key".
func (p *parser) recordLine(number int, path keyPath, kind string) {
	if first, repeated := p.lines[path]; repeated {
		p.faultAt(number, path.section, path.key, "the %s is already in line %d", kind, first)
		return
	}
	p.lines[path] = number
}

// validKey reports whether a key consists of the letters a to z, digits and
// underscores.
func validKey(key string) bool {
	for _, c := range key {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '_' {
			return false
		}
	}
	return key != ""
}

// maxQuotedBytes limits the length of text from the file in an error message.
const maxQuotedBytes = 80

// truncate limits a text to maxQuotedBytes and marks the omission.
func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}
