// Command review3 runs the scripted cases of the third review. It starts the VMs of a small
// deployment as processes of gypsumflowd, and stands in for the platform around them: the store,
// the routers, backends and consumers. Each follows the users' pages and uses the standard
// library only.
package main
