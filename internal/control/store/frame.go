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

// A frame is the length of the payload, the CRC-32C of length and payload, and the payload.
// One frame is one synced write, so only the last one of a file can be torn.
const (
	headBytes  = 8
	maxPayload = 256 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errShort   = errors.New("frame is cut short")
	errSum     = errors.New("checksum of frame differs")
)

// ErrDamaged tells that the log is damaged before its last write. The host must not start:
// it may have confirmed what is lost.
var ErrDamaged = errors.New("log is damaged before its end; remove the folder and let the host join anew")

func encodeFrame(m proto.Message) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, headBytes), m)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	binary.LittleEndian.PutUint32(b, uint32(len(b)-headBytes))
	binary.LittleEndian.PutUint32(b[4:], frameSum(b))
	return b, nil
}

func frameSum(b []byte) uint32 {
	sum := crc32.Update(0, castagnoli, b[:4])
	return crc32.Update(sum, castagnoli, b[headBytes:])
}

// readFrame returns the payload of the first frame and the frame's size; no payload and no
// error at the end of b.
func readFrame(b []byte) (payload []byte, n int, err error) {
	if len(b) == 0 {
		return nil, 0, nil
	}
	if len(b) < headBytes {
		return nil, 0, errShort
	}
	size := binary.LittleEndian.Uint32(b)
	if size > maxPayload || int(size) > len(b)-headBytes {
		return nil, 0, errShort
	}
	n = headBytes + int(size)
	if frameSum(b[:n]) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, errSum
	}
	return b[headBytes:n], n, nil
}

// tornOnly reports damage if a whole frame stands after the bad one that b starts with.
func tornOnly(b []byte) error {
	for i := 1; i+headBytes < len(b); i++ {
		payload, _, err := readFrame(b[i:])
		if err == nil && len(payload) > 0 {
			return ErrDamaged
		}
	}
	return nil
}

func encodeSnapshot(s quorum.Snapshot) []byte {
	b, err := encodeFrame(&wire.SnapshotFile{Index: s.Index, Term: s.Term, Members: s.Members, Data: s.Data})
	if err != nil {
		panic("snapshot does not encode: " + err.Error())
	}
	return b
}

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
		return quorum.Snapshot{}, fmt.Errorf("read snapshot: %w: %w", ErrDamaged, err)
	}
	m := &wire.SnapshotFile{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return quorum.Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	return quorum.Snapshot{Index: m.Index, Term: m.Term, Members: m.Members, Data: m.Data}, nil
}
