package peers

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/gypsumspan/gypsumspan/decide/message"
	"github.com/gypsumspan/gypsumspan/wire"
)

const (
	// FormatVersion is the version of the link format. Links with other versions are
	// rejected.
	FormatVersion = 1
	// MaxMessageSize is the size of the largest encoded message on a link, in bytes.
	MaxMessageSize = 1 << 20
)

const (
	magic      = "GSPL"
	helloSize  = len(magic) + 2 + 8 // bytes
	lengthSize = 4                  // bytes
	minBufSize = 4096               // bytes; enough for a heartbeat
)

// Errors of the links.
var (
	// ErrHello means that an incoming link does not start with a hello.
	ErrHello = errors.New("link does not start with a hello")
	// ErrVersion means that the sender uses another version of the link format.
	ErrVersion = errors.New("unsupported link format version")
	// ErrOversized means that a message is larger than MaxMessageSize.
	ErrOversized = errors.New("message exceeds the size limit of a link")
	// ErrUnexpectedMessage means that a message is not a control message.
	ErrUnexpectedMessage = errors.New("message type is not accepted on a link")
	// ErrNoAddress means that the receiver of a message has no control address.
	ErrNoAddress = errors.New("receiver has no control address")
	// ErrClosed means that the service was stopped.
	ErrClosed = errors.New("service is stopped")
)

// appendHello appends the hello of the sender self.
func appendHello(dst []byte, self message.VMID) []byte {
	dst = append(dst, magic...)
	dst = binary.BigEndian.AppendUint16(dst, FormatVersion)
	return binary.BigEndian.AppendUint64(dst, uint64(self))
}

// readHello reads a hello and returns the sender's id. It returns ErrHello or ErrVersion.
func readHello(r io.Reader) (message.VMID, error) {
	var hello [helloSize]byte
	if _, err := io.ReadFull(r, hello[:]); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrHello, err)
	}
	if string(hello[:len(magic)]) != magic {
		return 0, fmt.Errorf("magic %q: %w", hello[:len(magic)], ErrHello)
	}
	version := binary.BigEndian.Uint16(hello[len(magic):])
	if version != FormatVersion {
		return 0, fmt.Errorf("version %d: %w", version, ErrVersion)
	}
	return message.VMID(binary.BigEndian.Uint64(hello[len(magic)+2:])), nil
}

// appendFrame appends the length and the encoding of body. It returns ErrOversized or an
// error of package wire.
func appendFrame(dst []byte, body message.Body) ([]byte, error) {
	start := len(dst)
	dst = append(dst, make([]byte, lengthSize)...)
	dst, err := wire.Append(dst, body)
	if err != nil {
		return dst, err
	}
	size := len(dst) - start - lengthSize
	if size > MaxMessageSize {
		return dst, fmt.Errorf("%T of %d bytes: %w", body, size, ErrOversized)
	}
	binary.BigEndian.PutUint32(dst[start:], uint32(size))
	return dst, nil
}

// frameReader reads messages from a link. It reuses its buffer.
type frameReader struct {
	r   io.Reader
	buf []byte
}

// next returns the next message. It returns io.EOF if the link ended between two
// messages.
func (f *frameReader) next() (message.Body, error) {
	var length [lengthSize]byte
	if _, err := io.ReadFull(f.r, length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > MaxMessageSize {
		return nil, fmt.Errorf("%d bytes: %w", size, ErrOversized)
	}
	if int(size) > len(f.buf) {
		f.buf = make([]byte, max(int(size), minBufSize))
	}
	if _, err := io.ReadFull(f.r, f.buf[:size]); err != nil {
		return nil, fmt.Errorf("read message of %d bytes: %w", size, unexpectedEOF(err))
	}
	body, err := wire.Decode(f.buf[:size])
	if err != nil {
		return nil, err
	}
	if !message.IsControl(body) {
		return nil, fmt.Errorf("%T: %w", body, ErrUnexpectedMessage)
	}
	return body, nil
}

// unexpectedEOF replaces io.EOF within a message by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
