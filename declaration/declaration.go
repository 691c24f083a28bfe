// Package declaration reads a folder of INI files that operators write, and merges
// them into the sections of one configuration.
//
// Files are merged in the order of their names. A later file overrides individual
// keys of a section, and "remove = true" deletes the section that earlier files
// declared. All faults of the folder are reported together.
package declaration

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/core/message"
	"github.com/pkg/errors"
)

// Limits of a folder.
const (
	MaxFileBytes = 1 << 20
	MaxFiles     = 4096
)

// removeKey is the key that deletes the section that earlier files declared.
const removeKey = "remove"

// File is the name and content of one file of the folder.
type File struct {
	Name    string
	Content []byte
}

// Fault is one validation error with its position. Line is zero if the error does
// not belong to a single line.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Reason  string `json:"reason"`
}

// String returns "file:line: [section] key: reason" without the parts that are not
// set.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	return b.String() + ": " + f.Reason
}

// Faults is the list of all faults of a folder.
type Faults []Fault

// Error implements error. It returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// JSON returns the faults as a JSON array.
func (f Faults) JSON() ([]byte, error) {
	b, err := json.Marshal(f)
	return b, errors.Wrap(err, "encode faults")
}

// origin is the position that declared a section or set a key.
type origin struct {
	file string
	line int
}

// Declaration is the merged and validated content of a folder.
type Declaration struct {
	Sections contract.Sections
	Config   *contract.Config

	sectionOrigin map[string]origin
	keyOrigin     map[string]map[string]origin
}

// Origin returns the name of the file that set a key of a section.
func (d *Declaration) Origin(section, key string) string { return d.keyOrigin[section][key].file }

// ReadFolder reads, merges and validates all *.ini files of a folder. It ignores
// hidden files, because editors use them for backup copies. If the content is
// invalid, the error is of type Faults.
func ReadFolder(folder string) (*Declaration, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Wrap(err, "read declarations")
	}
	var files []File
	for _, e := range entries {
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") || filepath.Ext(e.Name()) != ".ini" {
			continue
		}
		if len(files) == MaxFiles {
			return nil, errors.Errorf("%s has more than %d files", folder, MaxFiles)
		}
		content, err := readLimited(filepath.Join(folder, e.Name()))
		if err != nil {
			return nil, errors.Wrapf(err, "read declaration %s", e.Name())
		}
		files = append(files, File{e.Name(), content})
	}
	if len(files) == 0 {
		return nil, errors.Errorf("%s has no *.ini file", folder)
	}
	return Parse(files)
}

// readLimited reads up to one byte more than MaxFileBytes, so that Parse can report
// a file that is too large.
func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
}

// Parse merges files in the order of their names and validates the result. If
// there are faults, the error is of type Faults.
func Parse(files []File) (*Declaration, error) {
	files = append([]File(nil), files...)
	sort.SliceStable(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	d := &Declaration{
		Sections: contract.Sections{}, sectionOrigin: map[string]origin{}, keyOrigin: map[string]map[string]origin{},
	}
	var faults Faults
	for _, f := range files {
		sections, fileFaults := parseFile(f)
		faults = append(faults, fileFaults...)
		for _, s := range sections {
			faults = append(faults, d.merge(f.Name, s)...)
		}
	}
	config, configFaults := contract.Build(message.Revision(0), d.Sections)
	for _, f := range configFaults {
		faults = append(faults, d.locate(f))
	}
	if len(faults) > 0 {
		return nil, faults
	}
	d.Config = config
	return d, nil
}

// locate adds the position to a fault of the merged sections. It is the line that
// set the key, or the one that declared the section if the key is missing.
func (d *Declaration) locate(f contract.Fault) Fault {
	position, ok := d.keyOrigin[f.Section][f.Key]
	if !ok {
		position = d.sectionOrigin[f.Section]
	}
	return Fault{File: position.file, Line: position.line, Section: f.Section, Key: f.Key, Reason: f.Problem}
}

// merge merges one section of a file into the sections of earlier files.
func (d *Declaration) merge(file string, s section) []Fault {
	_, declared := d.Sections[s.name]
	if remove, present := s.values[removeKey]; present {
		fault := Fault{File: file, Line: s.keyLines[removeKey], Section: s.name, Key: removeKey}
		switch {
		case remove != "true":
			fault.Reason = fmt.Sprintf("%q is not a valid value; the value must be true", remove)
			return []Fault{fault}
		case !declared:
			fault.Reason = "no earlier file declares this section"
			return []Fault{fault}
		}
		delete(d.Sections, s.name)
		delete(d.keyOrigin, s.name)
		delete(s.values, removeKey)
		if len(s.values) == 0 {
			return nil
		}
		declared = false
	}
	if !declared {
		d.Sections[s.name] = map[string]string{}
		d.keyOrigin[s.name] = map[string]origin{}
		d.sectionOrigin[s.name] = origin{file, s.line}
	}
	for key, value := range s.values {
		d.Sections[s.name][key] = value
		d.keyOrigin[s.name][key] = origin{file, s.keyLines[key]}
	}
	return nil
}
