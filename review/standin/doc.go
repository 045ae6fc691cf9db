// Command standin plays the cases of the review. It starts gypsumflowd as separate
// processes, as the deploy file does, and stands in for the consumers, routers, backends
// and the metadata store of the users' platform. The stand-ins follow PROTOCOL.md.
//
//	standin CASE FOLDER
//
// FOLDER gets record.txt. The exit code is 1 if the rule was broken, 0 if it held and 2
// if the case could not run. With TROUBLE=0 in the environment the case runs without its
// disruption. It must be started in the root of the repository, after the build of the
// deploy file.
package main
