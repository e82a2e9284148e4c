// Package spec parses and checks the document of a service, an INI text in which an
// operator configures how the load balancer treats the requests of that service.
//
// Some terms of the keys: a target is a backend server of the service, and its slots
// are the number of requests that it works on at once. An entry host is a host that
// runs the load balancer. An attempt is one sending of a request to a target. Extra
// attempts are retries after a failure and hedges, which are second attempts while the
// first is late. The holders of a service are the entry hosts that the directory lists
// first to callers. Each of them holds a part of the targets, which it probes.
//
// A limit that all entry hosts share is divided by the largest number of entry
// hosts, and each host keeps its fixed share. No host needs to know what the others use.
//
// The types [Field] and [FieldError] and [ParseFields] serve for any INI text. The
// settings of an entry host use them too.
package spec
