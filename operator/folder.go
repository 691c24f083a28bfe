package operator

import (
	"arbutusmast.example/arbutusmast/core/contract"
	"arbutusmast.example/arbutusmast/declaration"
	"github.com/pkg/errors"
)

// FolderReader reads declarations from the INI files of a folder.
type FolderReader struct{}

// Read implements DeclarationReader.
func (FolderReader) Read(folder string) (contract.Sections, []Fault, error) {
	decl, err := declaration.ReadFolder(folder)
	var faults declaration.Faults
	if errors.As(err, &faults) {
		converted := make([]Fault, len(faults))
		for i, f := range faults {
			converted[i] = Fault{File: f.File, Line: f.Line, Section: f.Section, Key: f.Key, Problem: f.Reason}
		}
		return nil, converted, nil
	}
	if err != nil {
		return nil, nil, err
	}
	return decl.Sections, nil, nil
}
