// Package peers is the service "peers": the control links between VMs.
//
// A link is a TCP connection with a yamux session and one stream. It carries
// messages in one direction, from the VM that opened it. The stream starts with
// a hello (magic "GSPL", format version as 2 bytes, the sender's VMID as 8
// bytes, big-endian); then each message is a length of 4 bytes and the encoding
// of package wire.
//
// Outgoing messages are hashed by receiver to a fixed number of duties, each
// with a bounded ring. Such a duty dials on demand, and drops messages to a
// peer that could not be reached until the peer's back-off ends, so that a dead
// peer holds up the others of the duty for at most a quarter of the time.
//
// Messages to one receiver arrive in order while a link lasts. When a link
// fails, messages may be lost, and the last one may arrive twice, since it is
// written again on a new link.
package peers
