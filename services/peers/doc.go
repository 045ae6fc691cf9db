// Package peers is the service "peers": the control links between VMs.
//
// A link is a TCP connection with a yamux session and one stream. It carries
// messages in one direction, from the VM that dialled it. The stream starts with
// a hello: magic "GSPL", format version (2 bytes), VMID of the sender (8 bytes).
// Each message follows as its length (4 bytes) and its encoding by package wire.
// Numbers are big-endian.
//
// Outgoing messages are hashed by receiver to a fixed number of sending duties,
// each with a bounded ring. A duty dials on demand. After a failure it drops
// messages to the peer until the peer's backoff ends, so that unreachable peers
// block the other peers of the duty for at most a quarter of the time.
//
// Messages to one receiver arrive in order on one link. When a link fails,
// messages may be lost, and the last one may arrive twice, since it is written
// again on a new link.
package peers
