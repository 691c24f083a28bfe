package desired

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// headerBytes is the length of the version before a document.
const headerBytes = 8

// Register is the replicated cell that holds the newest document. Commands and
// snapshots have the same form, so applying one twice or after a newer one
// changes nothing.
type Register struct {
	version  uint64
	document []byte
}

// Command encodes a document under its version. Register treats the document
// as opaque bytes.
func Command(version uint64, document []byte) []byte {
	command := make([]byte, headerBytes, headerBytes+len(document))
	binary.BigEndian.PutUint64(command, version)
	return append(command, document...)
}

// Apply puts a document in force when its version is higher than the present
// one. It returns the version in force afterwards. The first document under a
// version stays, whatever is sent under that version later.
func (r *Register) Apply(command []byte) (uint64, error) {
	if len(command) < headerBytes {
		return r.version, errors.Errorf("desired: a command of %d bytes has no version", len(command))
	}
	if version := binary.BigEndian.Uint64(command); version > r.version || r.document == nil {
		r.version, r.document = version, command[headerBytes:]
	}
	return r.version, nil
}

// Current returns the version and document in force. There is none while the
// document is nil.
func (r *Register) Current() (uint64, []byte) { return r.version, r.document }

// Snapshot returns the command that restores the register, nil when it is empty.
func (r *Register) Snapshot() []byte {
	if r.document == nil {
		return nil
	}
	return Command(r.version, r.document)
}

// Restore replaces the register by a snapshot.
func (r *Register) Restore(snapshot []byte) error {
	*r = Register{}
	if len(snapshot) == 0 {
		return nil
	}
	_, err := r.Apply(snapshot)
	return err
}
