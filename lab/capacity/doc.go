// Package capacity measures how the memory, CPU time and traffic of each role grow with the
// size of the fleet, of the table and of the load. It calls the decision packages directly
// with synthetic fleets, tables and messages; there is no network and there are no targets.
//
// Every experiment is measured at three or more sizes in one run and fitted with a line.
// docs/CAPACITY.md computes the cost at other sizes from the slopes.
package capacity
