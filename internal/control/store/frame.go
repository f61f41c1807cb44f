package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"google.golang.org/protobuf/proto"

	"github.com/agatespindle/agatespindle/internal/base/wire"
	"github.com/agatespindle/agatespindle/internal/control/quorum"
)

// A frame is the payload length (uint32, little-endian), the CRC-32C of length and payload, and
// the payload. Each frame is synced before the next one is written, so only the last frame of a
// file can be torn.
const (
	headerBytes     = 8
	maxPayloadBytes = 256 << 20
)

var (
	castagnoli   = crc32.MakeTable(crc32.Castagnoli)
	errTruncated = errors.New("frame is truncated")
	errChecksum  = errors.New("frame checksum mismatch")
)

// ErrCorrupt is returned if the log is corrupt before its last write, or if the snapshot is corrupt.
// The host must not start with this log, because it may have acknowledged the entries that are lost.
var ErrCorrupt = errors.New("log is corrupt before its last write; remove the folder and let the host rejoin the quorum")

// encodeFrame returns the frame whose payload is the encoding of m.
func encodeFrame(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headerBytes), m)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-headerBytes))
	binary.LittleEndian.PutUint32(b[4:], frameChecksum(b))
	return b, nil
}

func frameChecksum(b []byte) uint32 {
	sum := crc32.Update(0, castagnoli, b[:4])
	return crc32.Update(sum, castagnoli, b[headerBytes:])
}

// readFrame returns the payload of the first frame in b and the frame's size in bytes. If b is
// empty, it returns a nil payload and no error.
func readFrame(b []byte) (payload []byte, n int, err error) {
	if len(b) == 0 {
		return nil, 0, nil
	}
	if len(b) < headerBytes {
		return nil, 0, errTruncated
	}
	size := binary.LittleEndian.Uint32(b)
	if size > maxPayloadBytes || int(size) > len(b)-headerBytes {
		return nil, 0, errTruncated
	}
	n = headerBytes + int(size)
	if frameChecksum(b[:n]) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, errChecksum
	}
	return b[headerBytes:n], n, nil
}

// checkTornTail returns ErrCorrupt if a valid frame follows the invalid one at the start of b: then
// the invalid frame is not a torn last write.
func checkTornTail(b []byte) error {
	for i := 1; i+headerBytes < len(b); i++ {
		payload, _, err := readFrame(b[i:])
		if err == nil && len(payload) > 0 {
			return ErrCorrupt
		}
	}
	return nil
}

func encodeSnapshot(s quorum.Snapshot) []byte {
	b, err := encodeFrame(&wire.SnapshotFile{Index: s.Index, Term: s.Term, Members: s.Members, Data: s.Data})
	if err != nil {
		panic("encode snapshot: " + err.Error())
	}
	return b
}

// readSnapshot returns the snapshot in a file, or an empty one if there is no file.
func readSnapshot(path string) (quorum.Snapshot, error) {
	b, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return quorum.Snapshot{}, nil
	}
	if err != nil {
		return quorum.Snapshot{}, err
	}
	payload, _, err := readFrame(b)
	if err != nil {
		return quorum.Snapshot{}, fmt.Errorf("read snapshot: %w: %w", ErrCorrupt, err)
	}
	m := &wire.SnapshotFile{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return quorum.Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return quorum.Snapshot{Index: m.Index, Term: m.Term, Members: m.Members, Data: m.Data}, nil
}
