// Package orgs describes the organisations whose callers an operator serves, with the keys
// by which a request is assigned to one of them.
//
// A [Registry] holds the keys of one version of the configuration. It answers the load
// pattern of callers whose keys are added, taken away and given to others while their
// connections stay open, and of callers that try unknown keys: a request is assigned once,
// by [Registry.Assign], and [Registry.Owner] tells before each attempt whether its key still
// belongs to the same organisation. Requests carry only a digest of their key.
package orgs
