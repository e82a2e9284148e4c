// Package scenes tests whole systems of processes with scripts, called scenes.
//
// Each script under _fixtures starts a system with package fleet, injects faults and
// checks the responses that callers receive and the targets' own records of what ran.
// All scripts use one service, reservas. Each command of the scripts is implemented by a
// function whose name begins with cmd. docs/DEVELOPERS.md lists the commands.
//
// A holder of a service is an entry host that sends requests to the service's targets
// itself, while other entry hosts forward requests to a holder. The directory, which
// callers request from any entry host, lists the entry hosts to use. In the scripts,
// HOLDER is the host at the top of that list when the script first used HOLDER.
//
// The version of a document is the offset of its record in the documents stream. Refused
// and malformed records have offsets too, so versions in force need not be consecutive.
//
// An incarnation is one run of an entry host's process, from its start to its end. Each
// incarnation has a token, and an idempotency key starts with the token of an
// incarnation, which is the home of the key. Only the home runs requests with the key,
// and only it stores their responses.
package scenes
