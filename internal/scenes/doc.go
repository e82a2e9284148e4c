// Package scenes tests whole systems of processes with scripts, called scenes.
//
// Each script under _fixtures starts a system with package fleet, injects faults and
// checks the responses that callers receive and the targets' own records of what ran.
// All scripts use one service, reservas. The functions of the tests whose names begin
// with cmd define the commands of the scripts. docs/DEVELOPERS.md lists the commands.
//
// A holder of a service is an entry host that sends requests to the service's targets
// itself, while other entry hosts forward requests to a holder. The directory, which
// callers request from any entry host, lists the entry hosts to use. In the scripts,
// HOLDER is the first host on that list. The home of an idempotency key is the run of an
// entry host's process whose token the key starts with. Only the home runs requests with
// the key, and only it stores their responses.
package scenes
