// Package config reads and checks the settings of an entry host, which is a host that
// runs the load balancer. Operators write the settings as an INI file. A host applies them
// when it starts. Later changes to the file have no effect until the next start.
//
// The keys use the following terms. Callers send requests to entry hosts, which forward
// them to targets, the backend servers of a service. A slot is room for one request that a
// target runs. Callers look up the addresses of entry hosts in a directory. Steering is
// directing callers to a few of the entry hosts. An extra attempt is an attempt of a
// request after its first one, such as a retry. A probe is a small request by which a host
// measures a target. The platform is the system that configures and runs the entry hosts.
// There are two kinds of platforms, and the key Form states which one the host runs on.
package config
