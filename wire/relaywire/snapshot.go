package relaywire

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// ErrSnapshotVersion means that a snapshot has a format that this program does not know.
var ErrSnapshotVersion = errors.New("unknown version of a snapshot")

const (
	// snapshotVersion is the first byte of a snapshot. The xxHash of the rest follows in 8
	// bytes, big-endian, then the protobuf message News, compressed by DEFLATE (RFC 1951).
	snapshotVersion = 1
	snapshotHeader  = 1 + 8
	// maxSnapshotContent is the size of the largest decompressed snapshot in bytes.
	maxSnapshotContent = 64 << 20
)

// EncodeSnapshot encodes a complete update.
func EncodeSnapshot(u relay.Update) ([]byte, error) {
	content, err := EncodeUpdate(u)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	out.Write(make([]byte, snapshotHeader))
	compressor, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	// Writes to a buffer do not fail.
	_, _ = compressor.Write(content)
	_ = compressor.Close()
	data := out.Bytes()
	data[0] = snapshotVersion
	binary.BigEndian.PutUint64(data[1:], xxhash.Sum64(data[snapshotHeader:]))
	return data, nil
}

// DecodeSnapshot decodes a snapshot. It returns ErrSnapshotVersion, or ErrMalformed for one
// that is truncated, changed or not complete.
func DecodeSnapshot(data []byte) (relay.Update, error) {
	if len(data) < snapshotHeader {
		return relay.Update{}, fmt.Errorf("snapshot of %d bytes: %w", len(data), ErrMalformed)
	}
	if data[0] != snapshotVersion {
		return relay.Update{}, fmt.Errorf("%w: %d", ErrSnapshotVersion, data[0])
	}
	compressed := data[snapshotHeader:]
	if binary.BigEndian.Uint64(data[1:]) != xxhash.Sum64(compressed) {
		return relay.Update{}, fmt.Errorf("snapshot with a wrong checksum: %w", ErrMalformed)
	}
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxSnapshotContent))
	if err != nil {
		return relay.Update{}, fmt.Errorf("snapshot: %w: %w", ErrMalformed, err)
	}
	update, err := DecodeUpdate(content)
	if err != nil {
		return relay.Update{}, err
	}
	if !update.Complete || update.Revision <= 0 {
		return relay.Update{}, fmt.Errorf("snapshot that is not complete: %w", ErrMalformed)
	}
	return update, nil
}
