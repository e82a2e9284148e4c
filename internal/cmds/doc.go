// Package cmds implements the commands of the program curranttiller. The command entry
// runs the load balancer's daemon on a host, which is then called an entry host. The
// daemon forwards requests of callers to the backend servers of a service, its targets.
// The other commands are for operators.
//
// Operators configure each service by a document, an INI text. To publish it, an operator
// appends it as a proposal to a log that the platform stores and that all entry hosts
// read. The offset of an accepted proposal in the log is the version of the document. A
// version is in force at an entry host if the host applies it to requests. An index is a
// record of the log that lists the versions in force.
//
// Each command is described by a value of type command, from which the help texts and
// the reference page docs/CLI.md are made.
package cmds
