// Package fleet distributes the desired state and the list of backend servers to
// all daemons. Control runs one member of the control group, which agrees on the
// desired state and reads the platform's list of backend servers. Watcher keeps a
// copy of both on every other daemon.
package fleet

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"arbutusmast.example/arbutusmast/core/backend"
	"arbutusmast.example/arbutusmast/core/desired"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Codec decodes the desired-state documents that operators publish.
type Codec interface {
	// Decode returns the state that a document describes, or an error if the
	// document is invalid.
	Decode(document []byte) (*desired.State, error)
}

// Directory reads the platform's list of backend servers.
type Directory interface {
	// List returns the servers of one failure domain, or all if it is empty.
	List(ctx context.Context, failureDomain string) ([]backend.Server, error)
}

// maxDocumentBytes limits the size of a decompressed document.
const maxDocumentBytes = 16 << 20

// SinceBoot returns the time since the machine booted, including the time for which
// it was suspended. The monotonic clock stops during a suspension, so a lease
// measured by it would still be valid after its real expiry.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "read the boot time clock"))
	}
	return time.Duration(ts.Nano())
}

// compress returns a document in DEFLATE format. Documents repeat the same field
// names for hundreds of routes, so they shrink to about a tenth.
func compress(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress a document")
	}
	if _, err := w.Write(document); err != nil {
		return nil, errors.Wrap(err, "compress a document")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a document")
	}
	return out.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a document")
	}
	if len(document) > maxDocumentBytes {
		return nil, errors.Errorf("a document has more than %d bytes", maxDocumentBytes)
	}
	return document, nil
}
