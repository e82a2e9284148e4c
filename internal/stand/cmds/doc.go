// Package cmds implements the command line of the standin program. Its commands run
// stand-ins for the systems around the load balancer (the platform, the targets and
// a fault-injecting proxy) and the tools that test and measure a whole fleet.
package cmds
