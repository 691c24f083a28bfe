package settings

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// maxFileBytes limits the size of a settings file. Typical files have a few KiB.
const maxFileBytes = 1 << 20

// standinPrefix is the prefix of the names of stand-in sections.
const standinPrefix = "standin "

// Load reads and validates a settings file. If the file can be read but its content
// is invalid, the error is of type Faults. Relative paths in the file are relative
// to the working directory of the process.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Errorf("read settings: %s has %d bytes and exceeds the limit of %d",
			path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses and validates the content of a settings file. name is the file name
// in faults.
func Parse(name string, data []byte) (*Settings, error) {
	p := &parser{file: name, lines: map[keyPath]int{}}
	p.scan(string(data))
	if len(p.faults) > 0 && len(p.lines) == 0 {
		return nil, p.faults
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		SpaceBeforeInlineComment: true,
		SkipUnrecognizableLines:  true,
		KeyValueDelimiters:       "=",
	}, data)
	if err != nil {
		p.faultAt(0, "", "", "%v", err)
		return nil, p.faults
	}
	s := p.readSections(file)
	p.check(s)
	if len(p.faults) > 0 {
		p.faults.sort()
		return nil, p.faults
	}
	p.addWarnings(s)
	return s, nil
}

// parser parses one file and collects its faults. lines holds the line number of
// each section and key.
type parser struct {
	file   string
	lines  map[keyPath]int
	faults Faults
}

// faultAt reports a problem at a line.
func (p *parser) faultAt(line int, section, key, format string, args ...any) {
	p.faults = append(p.faults, Fault{p.file, line, section, key, fmt.Sprintf(format, args...)})
}

// fault reports a problem at the line of the key, or of the section if the key is
// missing.
func (p *parser) fault(section, key, format string, args ...any) {
	line, ok := p.lines[keyPath{section, key}]
	if !ok {
		line = p.lines[keyPath{section, ""}]
	}
	p.faultAt(line, section, key, format, args...)
}

// has reports whether the file contains a key, or a section if key is empty.
func (p *parser) has(section, key string) bool {
	_, ok := p.lines[keyPath{section, key}]
	return ok
}

// readSections converts the sections of the file to Settings and reports unknown
// sections and keys.
func (p *parser) readSections(file *ini.File) *Settings {
	s := &Settings{}
	readers := map[string]*sectionReader{}
	open := func(name string) *sectionReader {
		readers[name] = newSectionReader(p, file, name)
		return readers[name]
	}
	s.Daemon = open("daemon").daemon()
	s.Entry = open("entry").entry()
	s.Agent = open("agent").agent()
	s.Control = open("control").control()
	s.TLS = open("tls").tls()
	for _, section := range file.Sections() {
		name := section.Name()
		standin, isStandin := strings.CutPrefix(name, standinPrefix)
		switch {
		case name == ini.DefaultSection && !p.has(name, "") || readers[name] != nil:
		case isStandin && validName(standin):
			s.Standins = append(s.Standins, open(name).standin(standin))
		default:
			p.fault(name, "", "unknown section; the sections are daemon, entry, agent, control, tls and standin NAME")
		}
	}
	sort.Slice(s.Standins, func(i, j int) bool { return s.Standins[i].Name < s.Standins[j].Name })
	for _, r := range readers {
		r.reportUnknownKeys()
	}
	return s
}

// validName reports whether a declaration may use the name for a backend server.
func validName(name string) bool {
	return name != "" && !strings.ContainsAny(name, " \t,")
}
