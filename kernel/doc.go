// Package kernel is the micro-kernel that every gypsumspan process is built on.
//
// A process is a set of services. A service has a name, finds other services by
// name, owns bounded rings, and declares duties. A duty is one long-lived
// goroutine; duties share no memory and pass typed values through rings.
//
// The same services run in two ways. Kernel.Run gives every duty its own
// goroutine. A Stepper runs the duties of one or more kernels on the calling
// goroutine, with a virtual clock and in an order that depends only on a seed.
package kernel
