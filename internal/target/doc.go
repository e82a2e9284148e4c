// Package target sends requests to targets and tells for every failure whether the work may have run.
//
// docs/TARGET.md states the contract with targets. The transport is net/http,
// kept from sending a request twice: see guardBody.
package target
