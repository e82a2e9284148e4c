// Package logs creates the loggers of an entry host. They write JSON, one object per
// line. Each subsystem of the host, such as the exchange with its peers, has a logger
// with its own level.
//
// A Queue between the loggers and the output keeps a slow output from blocking the
// host. It drops lines instead. It also limits the rate of lines.
package logs
