// Package fleet spreads the desired state and the list of backend servers over
// all daemons. Control runs one member of the control group, which agrees on the
// desired state and reads the platform's list; Follower keeps the copy of every
// other daemon.
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

// Codec reads the operators' documents.
type Codec interface {
	// Decode returns the state that a document describes. An error means that
	// the document is not acceptable.
	Decode(document []byte) (*desired.State, error)
}

// Directory is the platform's list of backend servers.
type Directory interface {
	List(ctx context.Context) ([]backend.Server, error)
}

// maxDocumentBytes bounds a document after decompression.
const maxDocumentBytes = 16 << 20

// SinceBoot returns the time since the machine started, including the time for
// which it was suspended. A lease measured by the monotonic clock would outlive
// a suspension.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Wrap(err, "read the boot time clock"))
	}
	return time.Duration(ts.Nano())
}

// pack compresses a document. Documents repeat the same field names for
// hundreds of routes and shrink to about a tenth.
func pack(document []byte) ([]byte, error) {
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

func unpack(packed []byte) ([]byte, error) {
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a document")
	}
	if len(document) > maxDocumentBytes {
		return nil, errors.Errorf("a document has more than %d bytes", maxDocumentBytes)
	}
	return document, nil
}
