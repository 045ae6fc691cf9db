package relaywire

import (
	"bytes"
	"compress/gzip"

	"github.com/gypsumspan/gypsumspan/decide/relay"
)

// Compressor encodes answers to pulls, compressed by gzip (RFC 1952). Many VMs pull the same changes
// at the same time, so that it keeps the last ones. The zero value is ready; it is not safe for
// concurrent use.
type Compressor struct {
	writer  *gzip.Writer
	changes compressedChanges
}

// compressedChanges are the compressed changes of an update.
type compressedChanges struct {
	key  changesKey
	data []byte
}

// changesKey identifies the changes of a replica after a revision up to another one.
type changesKey struct {
	after, revision int64
	complete        bool
	withoutEra      bool
}

// EncodeUpdate encodes the answer u to a pull of the changes after a revision: two gzip members, the
// changes and the confirmation.
func (c *Compressor) EncodeUpdate(after int64, u relay.Update) ([]byte, error) {
	key := changesKey{after: after, revision: int64(u.Revision), complete: u.Complete, withoutEra: u.WithoutEra}
	if c.changes.data == nil || c.changes.key != key {
		changes, err := EncodeChanges(u)
		if err != nil {
			return nil, err
		}
		c.changes = compressedChanges{key: key, data: c.compress(changes)}
	}
	confirmation, err := EncodeConfirmation(u.Confirmed)
	if err != nil {
		return nil, err
	}
	return append(bytes.Clone(c.changes.data), c.compress(confirmation)...), nil
}

func (c *Compressor) compress(data []byte) []byte {
	var out bytes.Buffer
	if c.writer == nil {
		// The level is valid. It costs the least time and memory; configurations shrink to a tenth.
		c.writer, _ = gzip.NewWriterLevel(&out, gzip.BestSpeed)
	} else {
		c.writer.Reset(&out)
	}
	// Writes to a buffer do not fail.
	_, _ = c.writer.Write(data)
	_ = c.writer.Close()
	return out.Bytes()
}
