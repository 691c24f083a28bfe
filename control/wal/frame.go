package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"arbutusmast.example/arbutusmast/core/consensus"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A frame consists of a magic number, the length of the body, a CRC-32C checksum
// of the length and the body, and the body.
const (
	frameHeaderBytes = 12
	// maxFrameBytes limits the body, so that a corrupt length field cannot cause a
	// huge allocation.
	maxFrameBytes = 1 << 30
)

var (
	frameMagic  = []byte{0xd7, 'A', 'M', 'W'}
	crc32cTable = crc32.MakeTable(crc32.Castagnoli)
)

// record is the body of a frame in a segment file. Sequence increases by one
// with each frame, so that replay detects a missing file.
type record struct {
	Sequence uint64 `cbor:"1,keyasint"`
	// Disk is the disk number. It is set in the first frame of a segment.
	Disk uint64 `cbor:"2,keyasint,omitempty"`
	// Checkpoint is set if the record holds the whole state and replaces all earlier
	// records.
	Checkpoint bool          `cbor:"3,keyasint,omitempty"`
	Writes     []storedWrite `cbor:"4,keyasint,omitempty"`
}

// storedWrite is the stored form of a consensus.Write. It refers to the snapshot,
// which is stored in a separate file.
type storedWrite struct {
	Hard     *consensus.HardState `cbor:"1,keyasint,omitempty"`
	Snapshot *snapshotID          `cbor:"2,keyasint,omitempty"`
	Entries  []consensus.Entry    `cbor:"3,keyasint,omitempty"`
}

// snapshotID identifies a snapshot by its last entry. The zero value means that
// there is no snapshot.
type snapshotID struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
}

var cborDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 24}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encodeFrame(body any) ([]byte, error) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "encode record")
	}
	if len(encoded) > maxFrameBytes {
		return nil, errors.Errorf("record of %d bytes exceeds the limit", len(encoded))
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(encoded))
	copy(frame, frameMagic)
	binary.BigEndian.PutUint32(frame[4:], uint32(len(encoded)))
	binary.BigEndian.PutUint32(frame[8:], checksum(frame[4:8], encoded))
	return append(frame, encoded...), nil
}

func checksum(length, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, crc32cTable), crc32cTable, body)
}

// errInvalidFrame reports data that does not start with a complete frame with a
// correct checksum.
var errInvalidFrame = errors.New("invalid frame")

// decodeFrame returns the body of the frame at the start of data, and the bytes
// after the frame.
func decodeFrame(data []byte) (body, rest []byte, err error) {
	if len(data) < frameHeaderBytes || !bytes.HasPrefix(data, frameMagic) {
		return nil, nil, errInvalidFrame
	}
	length := binary.BigEndian.Uint32(data[4:])
	if length > maxFrameBytes || int(length) > len(data)-frameHeaderBytes {
		return nil, nil, errInvalidFrame
	}
	body = data[frameHeaderBytes : frameHeaderBytes+int(length)]
	if checksum(data[4:8], body) != binary.BigEndian.Uint32(data[8:]) {
		return nil, nil, errInvalidFrame
	}
	return body, data[frameHeaderBytes+int(length):], nil
}

// validFrameFollows reports whether a valid frame starts anywhere after the start
// of data, where an invalid frame is. If so, the invalid frame is not a torn
// write at the end of the segment, even if its length field points past the end.
func validFrameFollows(data []byte) bool {
	for len(data) > 1 {
		i := bytes.Index(data[1:], frameMagic)
		if i < 0 {
			return false
		}
		data = data[1+i:]
		if _, _, err := decodeFrame(data); err == nil {
			return true
		}
	}
	return false
}
