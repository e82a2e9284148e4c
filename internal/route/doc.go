// Package route holds a request on its way through an entry host, whichever protocol brought it.
package route
