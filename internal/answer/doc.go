// Package answer keeps answers that are not sound from looking whole to net/http.
//
// Every HTTP client of this program reads its answers from a Conn: those of targets and their
// probes, of the platform, of the store, and of entry hosts. A Transport opens such
// connections for net/http. A read from a Conn fails where net/http would go on or see an
// ordinary end, so that the request fails and the connection is not used again.
package answer
