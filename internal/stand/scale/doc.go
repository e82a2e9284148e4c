// Package scale measures what control costs a daemon at several sizes, for docs/CAPACITY.md.
package scale
