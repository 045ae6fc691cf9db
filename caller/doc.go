// Package caller is the public caller library: a Client holds many flows over a
// few UDP sockets. Each flow is bound to one target of its service; the balancer
// fleet may be replaced while calls are in progress.
//
// A client is a kernel with two services. SessionName runs the protocol state machine
// of package session on one duty. SocketsName has one blocker per socket, which
// receives, and one duty, which sends.
package caller
