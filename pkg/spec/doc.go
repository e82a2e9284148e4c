// Package spec parses and checks the document of a service, an INI text in which an
// operator configures how the load balancer treats the requests of that service.
//
// The keys use the following terms. A target is a backend server of the service, and its
// slots are the number of requests that it works on at once. An entry host is a host
// that runs the load balancer. An attempt sends a request to a target once. Extra
// attempts are retries after a failure and hedges, which are second attempts while the
// first is late. The holders of a service are the entry hosts that the directory lists
// first to callers. Each of them holds a part of the targets, which it probes.
//
// A limit that all entry hosts share is divided by the largest number of entry hosts.
// Each host uses at most this fixed share, so the hosts need not exchange how much they use.
//
// [Field], [FieldError] and [ParseFields] are not specific to documents. The settings of
// an entry host are parsed with them too.
package spec
