// Package capacity measures how the memory, CPU time and traffic of each role
// grow with the size of the fleet, of the table and of the load. It drives the
// decisions themselves with test-made content; no network and no stand-in runs.
//
// Every experiment is measured at three or more sizes in one run and fitted with
// a line. docs/CAPACITY.md computes the cost at other sizes from the slopes.
package capacity
