// Package config reads and checks the settings of an entry host, which is a host that
// runs the load balancer. Operators write the settings as an INI file. A host applies them
// when it starts. Later changes to the file have no effect until the next start.
//
// The keys use the following terms. Callers send requests to entry hosts, which forward
// them to targets, the backend servers of a service. A slot is room for one request that a
// target runs. Callers look up the addresses of entry hosts in a directory. Steering is
// directing callers to a few of the entry hosts. An attempt is one try of a request at one
// target. An extra attempt is a retry after a failure, or a hedge, which is a second
// attempt while the first is late. A budget limits the extra attempts. Rescues, which are
// attempts on a new connection when the first connection may be dead, are not extra
// attempts. They spend from this budget only if the policy of the service is Speed. A probe
// is a small request by which a host measures a target. The platform is the system that
// configures and runs the entry hosts. There are two kinds of platforms, and the key Form
// states which one the host runs on.
package config
