// Package peers is the service "peers": the control links between VMs.
//
// A link is a TCP connection with a yamux session and one stream. It carries
// messages in one direction, from the VM that dialled it. The stream starts with
// a hello: magic "GSPL", format version (2 bytes), VMID of the sender (8 bytes).
// Each message follows as its length (4 bytes) and its encoding by package wire.
// Numbers are big-endian. With Config.TLS the session runs over TLS, and the VM that
// accepts the connection sends the byte 0x01 before the session, once it has verified
// the certificate of the other.
//
// Outgoing messages are hashed by receiver to a fixed number of sending duties,
// each with a bounded ring. A duty dials on demand. After a failure it drops
// messages to the peer until the peer's backoff ends. It also drops messages to all
// peers that have failed for 3 times the duration of the last failed attempt, so that
// further attempts to reach them block its other peers for at most a quarter of the time.
//
// Messages to one receiver arrive in order on one link. When a link fails,
// messages may be lost, and the last one may arrive twice, since it is written
// again on a new link.
package peers
