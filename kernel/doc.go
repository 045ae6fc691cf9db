// Package kernel assembles and runs the services of a gypsumspan process.
//
// A process is a set of services. A service has a name, looks up other services by
// name, owns bounded rings, and declares duties and blockers, which are its
// goroutines. A duty is an event loop: the kernel calls its Step when its gate is
// signalled or its wake time is reached. A blocker is a function that blocks in
// system calls. Duties exchange typed values through rings; any other state that they
// share, such as counters, must be safe for concurrent use.
//
// The same services run in two modes. Kernel.Run starts one long-lived goroutine
// for each duty and blocker (threaded). A Stepper runs the duties of one or more
// kernels on the calling goroutine, under a virtual clock and in an order that
// depends only on a seed and the calls (stepped). It runs no blockers. It is for
// deterministic simulations and tests.
package kernel
