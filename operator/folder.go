package operator

import (
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/declaration"
	"github.com/pkg/errors"
)

// FolderReader reads declarations from a folder of INI files.
type FolderReader struct{}

// Read implements Declarations.
func (FolderReader) Read(folder string) (contract.Sections, []Fault, error) {
	d, err := declaration.ReadFolder(folder)
	var faults declaration.Faults
	if errors.As(err, &faults) {
		list := make([]Fault, len(faults))
		for i, f := range faults {
			list[i] = Fault{File: f.File, Line: f.Line, Section: f.Section, Key: f.Key, Problem: f.Reason}
		}
		return nil, list, nil
	}
	if err != nil {
		return nil, nil, err
	}
	return d.Sections, nil, nil
}
