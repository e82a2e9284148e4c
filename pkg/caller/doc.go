// Package caller is a client of curranttiller for Go programs: it asks the
// directory, keeps the answer for the time it states, sends requests to the entry
// hosts that it names, and submits a request again only where that is safe.
package caller
