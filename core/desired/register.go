package desired

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// versionBytes is the length of the encoded version that precedes a document.
const versionBytes = 8

// Register is a replicated register that holds the document with the highest
// version. Commands and snapshots have the same encoding, and applying one again
// or after a newer one has no effect.
type Register struct {
	version  uint64
	document []byte
}

// Command encodes a document and its version. Register treats the document as
// opaque bytes.
func Command(version uint64, document []byte) []byte {
	command := make([]byte, versionBytes, versionBytes+len(document))
	binary.BigEndian.PutUint64(command, version)
	return append(command, document...)
}

// Apply stores the document of a command if its version is higher than the
// current one, and returns the version that is current afterwards. A later
// document with the same version does not replace the first one.
func (r *Register) Apply(command []byte) (uint64, error) {
	if len(command) < versionBytes {
		return r.version, errors.Errorf("desired: a command of %d bytes has no version", len(command))
	}
	if version := binary.BigEndian.Uint64(command); version > r.version || r.document == nil {
		r.version, r.document = version, command[versionBytes:]
	}
	return r.version, nil
}

// Current returns the current version and document. The document is nil while the
// register is empty.
func (r *Register) Current() (uint64, []byte) { return r.version, r.document }

// Snapshot returns a command that restores the register, or nil if it is empty.
func (r *Register) Snapshot() []byte {
	if r.document == nil {
		return nil
	}
	return Command(r.version, r.document)
}

// Restore replaces the content of the register by that of a snapshot.
func (r *Register) Restore(snapshot []byte) error {
	*r = Register{}
	if len(snapshot) == 0 {
		return nil
	}
	_, err := r.Apply(snapshot)
	return err
}
