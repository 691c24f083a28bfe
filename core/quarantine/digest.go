package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Digest returns the SHA-256 digest of a list of parts in hex. The length of each
// part is hashed too, so that lists that differ only in their split have
// different digests.
func Digest(parts ...[]byte) string {
	h, size := sha256.New(), make([]byte, sizeBytes)
	for i := range parts {
		writePart(h, size, parts[i:i+1])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// DigestSegmented returns the same digest as Digest of parts that are held in segments.
func DigestSegmented(parts ...[][]byte) string {
	h, size := sha256.New(), make([]byte, sizeBytes)
	for _, segments := range parts {
		writePart(h, size, segments)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// sizeBytes is the size of a length that is hashed.
const sizeBytes = 8

// writePart writes the length of a part and its segments. It uses size as a buffer.
func writePart(h hash.Hash, size []byte, segments [][]byte) {
	length := uint64(0)
	for _, s := range segments {
		length += uint64(len(s))
	}
	binary.BigEndian.PutUint64(size, length)
	h.Write(size)
	for _, s := range segments {
		h.Write(s)
	}
}
