// Package cmds implements the commands of the program curranttiller. The command entry
// runs the daemon of an entry host, which is a host that runs the load balancer. The
// other commands are for operators.
//
// Operators configure each service by a document, an INI text that is published on
// the platform's log. A document gets a new version with each publication. It is in
// force at an entry host if the host applies it.
//
// Each command is described by a value of type command, from which the help texts and
// the reference page docs/CLI.md are made.
package cmds
