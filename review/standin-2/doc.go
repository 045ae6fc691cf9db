// Program standin-2 plays the cases of the second review against real processes of
// gypsumflowd: the platform's store, its routers, consumers and backends are stand-ins
// within this one process, on loopback addresses and the real clock. Usage:
//
//	standin-2 CASE PROGRAM RECORD
//
// CASE names the case, PROGRAM is gypsumflowd, and RECORD the file to write. The exit
// code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 in the environment there is no disruption.
package main
